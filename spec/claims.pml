/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/*
 * The life of a claim: two entries serve the same key, resent at any time; entries crash and come
 * back as new incarnations; an entry may pause for any time between two steps. The claim store is
 * modelled as one register with atomic compare-and-set, which the replicated log provides.
 *
 * Proved: the upstream runs the call at most once; "not run" is answered only if it never ran and
 * the key's claim was given back; an answer is never forgotten.
 *
 * Broken variants, each of which must be caught (see bin/check-spec):
 *   RELEASE_ON_SUSPICION  a claim is released because its holder is suspected dead
 *   SEND_BEFORE_CLAIM     the call is sent while the claim is being written
 *   RETRY_UNKNOWN         a call whose answer was lost is sent again under the same claim
 *   RELEASE_AFTER_SEND    a lost answer is taken for "not run"
 */

#define ENTRIES 2
#define CRASHES 2
#define RESENDS 3

/* Claim states. */
#define FREE 0
#define CLAIMED 1
#define DONE 2
#define UNKNOWN 3

byte claim = FREE;
byte holder;
byte holder_incarnation;
byte incarnation[ENTRIES];

byte executions = 0;
bool told_not_run = false;
bool told_completed = false;
byte crashes = 0;
byte resends = 0;

inline send_call() {
    /* The call may reach the upstream or not; the answer may come back or not. */
    if
    :: executions++; answered = true
    :: executions++; answered = false
    :: answered = false
    fi
}

/* One attempt of a caller at an entry. The entry may crash between any two steps. */
proctype Entry(byte me) {
    byte mine;
    bool answered;
    bool connected;

idle:
    do
    :: atomic { resends < RESENDS -> resends++; mine = incarnation[me] } -> goto attempt
    :: resends >= RESENDS -> break
    od;
    goto end;

attempt:
#ifdef SEND_BEFORE_CLAIM
    send_call();
#endif
    atomic {
        if
        :: claim == FREE ->
            claim = CLAIMED; holder = me; holder_incarnation = mine
        :: claim == CLAIMED && holder == me && holder_incarnation != mine ->
            /* What an earlier run of this entry had claimed may have been sent. */
            claim = UNKNOWN; goto idle
        :: claim == DONE -> told_completed = true; goto idle
        :: claim == UNKNOWN ->
#ifdef RETRY_UNKNOWN
            claim = CLAIMED; holder = me; holder_incarnation = mine
#else
            goto idle
#endif
        :: else -> goto idle
        fi
    };
    if
    :: connected = true
    :: connected = false
    fi;
    if
    :: !connected ->
        /* No byte was sent: the claim is given back, if it is still this run's. */
        atomic {
            if
            :: (mine == incarnation[me] && claim == CLAIMED && holder == me
                && holder_incarnation == mine) ->
                claim = FREE;
                told_not_run = true;
                assert(executions == 0)
            :: else -> skip
            fi
        };
        goto idle
    :: connected -> skip
    fi;
    if
    :: mine != incarnation[me] -> goto idle /* crashed before sending */
    :: mine == incarnation[me] ->
#ifndef SEND_BEFORE_CLAIM
        send_call()
#else
        skip
#endif
    fi;
    atomic {
        if
        :: mine != incarnation[me] -> skip /* crashed: nothing is recorded */
        :: (mine == incarnation[me] && claim == CLAIMED && holder == me
            && holder_incarnation == mine) ->
            if
            :: answered -> claim = DONE; told_completed = true
            :: !answered ->
#ifdef RELEASE_AFTER_SEND
                claim = FREE; told_not_run = true; assert(executions == 0)
#else
                claim = UNKNOWN
#endif
            fi
        :: else -> skip
        fi
    };
    goto idle;

end:
    skip
}

/* Crashes entries; a crashed one is back at once under the next incarnation. */
proctype Faults() {
    do
    :: crashes < CRASHES ->
        crashes++;
        if
        :: incarnation[0]++
        :: incarnation[1]++
        fi
#ifdef RELEASE_ON_SUSPICION
    :: atomic { claim == CLAIMED -> claim = FREE }
#endif
    :: break
    od
}

/* At every moment: at most one execution, and an answer given is kept. */
active proctype Monitor() {
    do
    :: executions > 1 -> assert(false)
    :: told_completed && claim != DONE -> assert(false)
    :: timeout -> break
    od
}

init {
    atomic {
        run Entry(0);
        run Entry(1);
        run Faults()
    }
}
