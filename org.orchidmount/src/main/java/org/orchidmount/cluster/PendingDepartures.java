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
 * Departures of upstreams on their way to a quorum of the voters.
 *
 * <p>Invariant: a departure is confirmed only once as many voters hold it as a quorum has, the one
 * that counts included. Confined to the voter's own thread.
 */
final class PendingDepartures {
    /** The number of a departure that is announced again and that nobody waits for. */
    static final long NONE = -1;

    private final Map<Long, Pending> mPending = new HashMap<>();
    private long mNumber;

    /** A departure, and the other voters that are known to hold it. */
    private static final class Pending {
        private final CompletableFuture<Boolean> mDone;
        private final Set<HostPort> mHolders = new HashSet<>();

        Pending(CompletableFuture<Boolean> done) {
            mDone = done;
        }
    }

    /** Begins to count the voters that hold a departure; returns its number in messages. */
    long begin(CompletableFuture<Boolean> done) {
        mNumber++;
        mPending.put(mNumber, new Pending(done));
        return mNumber;
    }

    /** Counts a voter that holds a departure, once, however often it says so. */
    void held(long number, HostPort voter, int quorum) {
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

    /** Forgets a departure that was confirmed or given up. */
    void end(long number) {
        mPending.remove(number);
    }
}
