/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import java.util.HashMap;
import java.util.Map;
import org.orchidmount.internal.lock.LockRank;
import org.orchidmount.internal.lock.OrderedLock;

/**
 * The attempts beyond the first that this instance may make, per service.
 *
 * <p>Invariant: within any window, the extra attempts stay below a share of the requests seen here
 * plus this instance's part of what all instances may add. Thread-safe.
 */
final class ExtraAttempts {
    private static final int BUCKETS = 20;

    /** Leaves room for windows that do not fit the buckets and for what others count late. */
    private static final double SAFETY = 0.75;

    private final OrderedLock mLock = new OrderedLock(LockRank.LIMITS);
    private final Map<String, Window> mWindows = new HashMap<>();
    private final Relay.RetryLimit mLimit;

    private static final class Window {
        private final int[] mRequests = new int[BUCKETS + 1];
        private final int[] mExtras = new int[BUCKETS + 1];
        private long mNewest;
    }

    ExtraAttempts(Relay.RetryLimit limit) {
        mLimit = limit;
    }

    /** Counts a request. */
    void request(String service, long nowNanos) {
        try (OrderedLock.Held _ = mLock.hold()) {
            Window window = turn(service, nowNanos);
            window.mRequests[slot(window.mNewest)]++;
        }
    }

    /**
     * Takes an extra attempt.
     *
     * @param entries how many instances share the slack
     * @return false if there is none left
     */
    boolean take(String service, int entries, long nowNanos) {
        try (OrderedLock.Held _ = mLock.hold()) {
            Window window = turn(service, nowNanos);
            int requests = 0;
            int extras = 0;
            for (int i = 0; i <= BUCKETS; i++) {
                requests += window.mRequests[i];
                extras += window.mExtras[i];
            }
            double most = SAFETY * (mLimit.ratio() * requests + (double) mLimit.slack() / entries);
            if (extras + 1 > most) {
                return false;
            }
            window.mExtras[slot(window.mNewest)]++;
            return true;
        }
    }

    private Window turn(String service, long nowNanos) {
        Window window = mWindows.computeIfAbsent(service, name -> new Window());
        long bucket = nowNanos / (mLimit.window().toNanos() / BUCKETS);
        long stale = Math.min(bucket - window.mNewest, BUCKETS + 1);
        for (long i = 0; i < stale; i++) {
            window.mRequests[slot(bucket - i)] = 0;
            window.mExtras[slot(bucket - i)] = 0;
        }
        window.mNewest = Math.max(window.mNewest, bucket);
        return window;
    }

    private static int slot(long bucket) {
        return (int) Math.floorMod(bucket, (long) BUCKETS + 1);
    }
}
