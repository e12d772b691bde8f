/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.limits;

import java.time.Duration;
import java.util.Arrays;
import java.util.function.IntSupplier;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.internal.lock.LockRank;
import org.orchidmount.internal.lock.OrderedLock;

/**
 * The retries to the upstreams of one service that this instance may add to what all add together.
 *
 * <p>Invariant: within any window, the retries stay below a share of the requests seen here plus
 * this instance's part of the slack of all. Thread-safe.
 */
public final class WindowRetryBudget implements RetryBudget {
    /** Buckets a window is counted in, and one more for the part of the oldest. */
    private static final int BUCKETS = 20;

    /**
     * The share of the limit that is used. The rest is for windows that do not fit the buckets, and
     * for instances that do not know yet how many share the slack.
     */
    private static final double USED_SHARE = 0.75;

    private final OrderedLock mLock = new OrderedLock(LockRank.LIMITS);
    private final Limit mLimit;
    private final IntSupplier mInstances;
    private final MonotonicClock mClock;
    private final int[] mRequests = new int[BUCKETS + 1];
    private final int[] mRetries = new int[BUCKETS + 1];
    private long mNewestBucket;

    /**
     * The limit on the retries of all instances together.
     *
     * @param ratio retries for each request
     * @param window the span over which is counted
     * @param slack retries beyond the ratio in each span
     */
    public record Limit(double ratio, Duration window, int slack) {}

    /**
     * Creates a budget of which nothing is used.
     *
     * @param limit the limit of all instances
     * @param instances how many instances share it now, at least 1
     * @param clock the clock
     */
    public WindowRetryBudget(Limit limit, IntSupplier instances, MonotonicClock clock) {
        mLimit = limit;
        mInstances = instances;
        mClock = clock;
    }

    @Override
    public void countRequest() {
        try (OrderedLock.Held _ = mLock.hold()) {
            mRequests[advance()]++;
        }
    }

    @Override
    public boolean tryTake() {
        int instances = mInstances.getAsInt();
        try (OrderedLock.Held _ = mLock.hold()) {
            int newest = advance();
            int requests = Arrays.stream(mRequests).sum();
            int retries = Arrays.stream(mRetries).sum();
            double slack = (double) mLimit.slack() / instances;
            if (retries + 1 > USED_SHARE * (mLimit.ratio() * requests + slack)) {
                return false;
            }
            mRetries[newest]++;
            return true;
        }
    }

    /** One that was taken in an earlier part of the window stays taken. */
    @Override
    public void giveBack() {
        try (OrderedLock.Held _ = mLock.hold()) {
            int newest = advance();
            mRetries[newest] = Math.max(0, mRetries[newest] - 1);
        }
    }

    /** Clears what has left the window; returns the index of the present bucket. */
    private int advance() {
        long bucket = mClock.nanoTime() / (mLimit.window().toNanos() / BUCKETS);
        long stale = Math.min(bucket - mNewestBucket, BUCKETS + 1);
        for (long i = 0; i < stale; i++) {
            mRequests[index(bucket - i)] = 0;
            mRetries[index(bucket - i)] = 0;
        }
        mNewestBucket = Math.max(mNewestBucket, bucket);
        return index(mNewestBucket);
    }

    private static int index(long bucket) {
        return (int) Math.floorMod(bucket, (long) BUCKETS + 1);
    }
}
