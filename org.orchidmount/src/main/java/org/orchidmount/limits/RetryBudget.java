/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.limits;

import org.orchidmount.internal.lock.LockRank;
import org.orchidmount.internal.lock.OrderedLock;

/**
 * Allows retries in proportion to requests, so that retries cannot multiply a failure.
 *
 * <p>Each request earns a fraction of a retry; a small stock lets a quiet instance retry at all.
 * Thread-safe.
 */
public final class RetryBudget {
    /** Enough for the requests that one engine holds, so that the loss of an engine harms none. */
    private static final double STOCK = 64;

    private static final double PERCENT = 100;

    private final OrderedLock mLock = new OrderedLock(LockRank.LIMITS);
    private final double mEarned;
    private double mTokens = STOCK;

    /**
     * Creates a budget with its stock full.
     *
     * @param retryPercent the retries earned by 100 requests; 0 allows no retry
     */
    public RetryBudget(int retryPercent) {
        mEarned = retryPercent / PERCENT;
        if (retryPercent == 0) {
            mTokens = 0;
        }
    }

    /** Counts a request. */
    public void earn() {
        try (OrderedLock.Held _ = mLock.hold()) {
            mTokens = Math.min(STOCK, mTokens + mEarned);
        }
    }

    /**
     * Takes one retry.
     *
     * @return false if the budget is spent
     */
    public boolean take() {
        try (OrderedLock.Held _ = mLock.hold()) {
            if (mTokens < 1) {
                return false;
            }
            mTokens--;
            return true;
        }
    }
}
