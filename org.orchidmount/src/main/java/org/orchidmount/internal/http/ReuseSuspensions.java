/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The peers whose kept connections are out of use for a while, because more responses came on them
 * than calls were made. A call that meets such a response has to be given up, and often cannot be
 * repeated; on a connection of its own it meets none.
 *
 * <p>Invariant: a peer that sends a surplus response again soon after its suspension is suspended
 * for twice as long, up to a bound. Not thread-safe.
 */
final class ReuseSuspensions {
    /** Nanoseconds of a first suspension. */
    private static final long FIRST_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Nanoseconds of the longest suspension: so long a peer that is well again pays. */
    private static final long LONGEST_NANOS = TimeUnit.SECONDS.toNanos(32);

    private final Map<Peer, Suspension> mSuspensions = new HashMap<>();

    private record Suspension(long lengthNanos, long endNanos) {}

    /** Suspends a peer from now on. One that is suspended stays so until its time is over. */
    void suspend(Peer peer, long nowNanos) {
        if (isSuspended(peer, nowNanos)) {
            return;
        }
        mSuspensions.values().removeIf(before -> isForgotten(before, nowNanos));
        Suspension before = mSuspensions.get(peer);
        long lengthNanos =
                before == null ? FIRST_NANOS : Math.min(LONGEST_NANOS, 2 * before.lengthNanos());
        mSuspensions.put(peer, new Suspension(lengthNanos, nowNanos + lengthNanos));
    }

    /** Tells whether the kept connections of a peer are out of use. */
    boolean isSuspended(Peer peer, long nowNanos) {
        Suspension suspension = mSuspensions.get(peer);
        return suspension != null && nowNanos - suspension.endNanos() < 0;
    }

    /** A suspension counts for as long again after its end. */
    private static boolean isForgotten(Suspension suspension, long nowNanos) {
        return nowNanos - suspension.endNanos() >= suspension.lengthNanos();
    }
}
