/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.limits;

import org.orchidmount.internal.lock.LockRank;
import org.orchidmount.internal.lock.OrderedLock;

/**
 * Token bucket that requests refill and retries empty; for the upstreams of the table.
 *
 * <p>Invariant: the number of tokens is never below 0 nor above the capacity. Thread-safe.
 */
public final class TokenBucketRetryBudget implements RetryBudget {
    /** Capacity of the bucket: the retries caused by the loss of one engine. */
    private static final double CAPACITY = 64;

    private static final double PERCENT = 100;

    private final OrderedLock mLock = new OrderedLock(LockRank.LIMITS);
    private final double mTokensPerRequest;
    private double mTokens = CAPACITY;

    /**
     * Creates a budget with a full bucket, or an empty one if no retries are allowed.
     *
     * @param retryPercent retries earned by 100 requests; 0 allows no retry
     */
    public TokenBucketRetryBudget(int retryPercent) {
        mTokensPerRequest = retryPercent / PERCENT;
        if (retryPercent == 0) {
            mTokens = 0;
        }
    }

    @Override
    public void recordRequest() {
        try (OrderedLock.Held _ = mLock.hold()) {
            mTokens = Math.min(CAPACITY, mTokens + mTokensPerRequest);
        }
    }

    @Override
    public boolean tryAcquire() {
        try (OrderedLock.Held _ = mLock.hold()) {
            if (mTokens < 1) {
                return false;
            }
            mTokens--;
            return true;
        }
    }

    @Override
    public void refund() {
        try (OrderedLock.Held _ = mLock.hold()) {
            mTokens = Math.min(CAPACITY, mTokens + 1);
        }
    }
}
