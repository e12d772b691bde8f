/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * Departures of upstreams that are being replicated to a quorum of the voters.
 *
 * <p>Invariant: a departure is confirmed only once a quorum of voters holds it, this voter
 * included. Confined to the voter's thread.
 */
final class PendingDepartures {
    /** Number of a resent departure whose acknowledgements are ignored. */
    static final long UNTRACKED = -1;

    private final Map<Long, Pending> mPending = new HashMap<>();
    private long mNumber;

    /** A departure and the other voters that have acknowledged it. */
    private static final class Pending {
        private final CompletableFuture<Boolean> mDone;
        private final Set<HostPort> mHolders = new HashSet<>();

        Pending(CompletableFuture<Boolean> done) {
            mDone = done;
        }
    }

    /** Starts tracking a departure; returns the number that identifies it in messages. */
    long begin(CompletableFuture<Boolean> done) {
        mNumber++;
        mPending.put(mNumber, new Pending(done));
        return mNumber;
    }

    /** Records an acknowledgement; repeated acknowledgements of a voter count once. */
    void acknowledge(long number, HostPort voter, int quorum) {
        Pending pending = mPending.get(number);
        if (pending != null) {
            pending.mHolders.add(voter);
            complete(number, quorum);
        }
    }

    /** Confirms a departure if a quorum holds it. */
    void complete(long number, int quorum) {
        Pending pending = mPending.get(number);
        if (pending != null && 1 + pending.mHolders.size() >= quorum) {
            pending.mDone.complete(true);
        }
    }

    /** Stops tracking a departure that was confirmed or abandoned. */
    void remove(long number) {
        mPending.remove(number);
    }
}
