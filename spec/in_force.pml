/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/*
 * When is a table change accepted, and who may serve? The rule of docs/DESIGN.md:
 *
 *   accepted: durable on a majority of the voters and applied on a majority of all instances;
 *   serving:  an instance takes work only while it holds a permit, which it gets from messages of
 *             itself and others that make up a majority of all, once it has applied the highest
 *             revision they carry; the permit ends BOUND ticks after the oldest of them was sent.
 *
 * Two majorities meet, so BOUND ticks after the acceptance nobody serves by the table before it,
 * although instances are cut off, paused or restarted at any time. Consensus among the voters is
 * taken as given here: a change is committed at some moment and stays so. An instance forgets its
 * table when it restarts, and neither serves nor counts for others until it has read the committed
 * table again.
 *
 * Three instances, one change, two restarts. A cut-off or paused instance is one for which no step
 * but the tick is taken.
 *
 * Broken variants, each of which must be caught (see bin/check-spec):
 *   NO_FRESHNESS     a permit lasts BOUND ticks from its grant, however old its messages are
 *   SMALL_EVIDENCE   messages of half of the instances are enough
 *   VOTERS_ONLY      a change is accepted without regard to the other instances
 *   SERVES_BEHIND    an instance serves although a message told of a newer table
 *   RESTART_COUNTS   a restarted instance counts for others before it has caught up
 */

#define N 3
#define MAJORITY 2
#define BOUND 2
#define RESTARTS 2

#ifdef SMALL_EVIDENCE
#define EVIDENCE 1
#else
#define EVIDENCE MAJORITY
#endif

bit committed;
bit known[N];
bit caught[N];
byte heard[N];   /* set of those heard from in this round */
byte count[N];   /* its size */
bit highest[N];  /* the highest revision they carried */
byte age[N];     /* ticks since the oldest message of the round was sent */
byte permit[N];  /* ticks for which the instance may still serve */
bit accepted;
byte since;      /* ticks since the acceptance, at most BOUND */
byte restarts;
byte i;
byte j;

#define applied (known[0] * caught[0] + known[1] * caught[1] + known[2] * caught[2])

inline forget_round(x) {
    heard[x] = 0; count[x] = 0; highest[x] = 0; age[x] = 0
}

inline tick() {
    i = 0;
    do
    :: i < N ->
        if
        :: permit[i] > 0 -> permit[i]--
        :: else -> skip
        fi;
        if
        :: count[i] > 0 ->
#ifdef NO_FRESHNESS
            skip
#else
            age[i]++;
            if
            :: age[i] >= BOUND -> forget_round(i)
            :: else -> skip
            fi
#endif
        :: else -> skip
        fi;
        i++
    :: else -> break
    od;
    if
    :: accepted && since < BOUND -> since++
    :: else -> skip
    fi
}

inline check() {
    i = 0;
    do
    :: i < N ->
        assert(!(accepted && since >= BOUND && permit[i] > 0 && !known[i]));
        i++
    :: else -> break
    od;
    i = 0; j = 0
}

active proctype World() {
    atomic { caught[0] = 1; caught[1] = 1; caught[2] = 1 };
    do
    :: atomic { !committed -> committed = 1 }
    :: atomic { /* the committed change is pushed to an instance */
        committed ->
        select (i : 0 .. N - 1);
        known[i] = 1; i = 0
       }
    :: atomic { /* the change is answered as accepted */
#ifdef VOTERS_ONLY
        !accepted && committed -> accepted = 1
#else
        (!accepted && committed && applied >= MAJORITY) -> accepted = 1
#endif
       }
    :: atomic { /* i hears from j */
        select (i : 0 .. N - 1);
        select (j : 0 .. N - 1);
        if
        :: (i != j && caught[j] && !(heard[i] & (1 << j))) ->
            heard[i] = heard[i] | (1 << j);
            count[i]++;
            highest[i] = highest[i] | known[j]
        :: else -> skip
        fi;
        i = 0; j = 0
       }
    :: atomic { /* i pulls what it lacks */
        select (i : 0 .. N - 1);
        if
        :: highest[i] -> known[i] = 1
        :: else -> skip
        fi;
        i = 0
       }
    :: atomic { /* i takes a permit from its round */
        select (i : 0 .. N - 1);
        if
#ifdef SERVES_BEHIND
        :: (caught[i] && count[i] + 1 >= EVIDENCE) ->
#else
        :: (caught[i] && count[i] + 1 >= EVIDENCE && known[i] >= highest[i]) ->
#endif
            permit[i] = BOUND - age[i];
            forget_round(i)
        :: else -> skip
        fi;
        check()
       }
    :: atomic { /* i restarts and forgets */
        restarts < RESTARTS ->
        restarts++;
        select (i : 0 .. N - 1);
        forget_round(i);
        permit[i] = 0;
        known[i] = 0;
#ifndef RESTART_COUNTS
        caught[i] = 0;
#endif
        i = 0
       }
    :: atomic { /* i reads the committed table from the voters */
        select (i : 0 .. N - 1);
        if
        :: !caught[i] -> known[i] = known[i] | committed; caught[i] = 1
        :: else -> skip
        fi;
        i = 0
       }
    :: atomic { tick(); check() }
    od
}
