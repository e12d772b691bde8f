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
 * Limits the retries of this instance to its part of a limit on the upstreams of one service that
 * all instances share. Used while the instance that leads is of a build that does not grant retries
 * (see {@code retry.ServiceRetries}); over restarts of instances, they may together pass the limit.
 *
 * <p>Invariant: within any window, the retries stay below a fraction of the requests seen here plus
 * this instance's part of the shared slack. Thread-safe.
 */
public final class WindowRetryBudget implements RetryBudget {
    /**
     * Number of buckets of a window; one more is kept for the part of the oldest bucket that is
     * still in the window.
     */
    private static final int BUCKETS = 20;

    /**
     * Fraction of the limit that is used. The rest is a margin for windows that are not aligned
     * with the buckets, and for instances that do not know yet how many share the slack.
     */
    private static final double USABLE_SHARE = 0.75;

    private final OrderedLock mLock = new OrderedLock(LockRank.LIMITS);
    private final Limit mLimit;
    private final IntSupplier mInstances;
    private final MonotonicClock mClock;
    private final int[] mRequests = new int[BUCKETS + 1];
    private final int[] mRetries = new int[BUCKETS + 1];
    private long mNewestBucket;

    /**
     * Limit on the retries of all instances together.
     *
     * @param ratio retries allowed per request
     * @param window length of the window
     * @param slack retries allowed in each window in addition to the ratio
     */
    public record Limit(double ratio, Duration window, int slack) {}

    /**
     * Creates an unused budget.
     *
     * @param limit limit of all instances
     * @param instances number of instances that share the limit now, at least 1
     * @param clock monotonic clock
     */
    public WindowRetryBudget(Limit limit, IntSupplier instances, MonotonicClock clock) {
        mLimit = limit;
        mInstances = instances;
        mClock = clock;
    }

    @Override
    public void recordRequest() {
        try (OrderedLock.Held _ = mLock.hold()) {
            mRequests[advance()]++;
        }
    }

    @Override
    public boolean tryAcquire() {
        int instances = mInstances.getAsInt();
        try (OrderedLock.Held _ = mLock.hold()) {
            int newest = advance();
            int requests = Arrays.stream(mRequests).sum();
            int retries = Arrays.stream(mRetries).sum();
            double slack = (double) mLimit.slack() / instances;
            if (retries + 1 > USABLE_SHARE * (mLimit.ratio() * requests + slack)) {
                return false;
            }
            mRetries[newest]++;
            return true;
        }
    }

    /** {@inheritDoc} A retry that was taken in an earlier bucket is not returned. */
    @Override
    public void refund() {
        try (OrderedLock.Held _ = mLock.hold()) {
            int newest = advance();
            mRetries[newest] = Math.max(0, mRetries[newest] - 1);
        }
    }

    /** Clears the buckets that have left the window and returns the index of the current bucket. */
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
