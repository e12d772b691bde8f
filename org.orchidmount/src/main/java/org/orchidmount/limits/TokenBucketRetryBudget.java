/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.limits;

import org.orchidmount.internal.lock.LockRank;
import org.orchidmount.internal.lock.OrderedLock;

/**
 * Retries that requests earn and that a stock bounds; for the upstreams of the table.
 *
 * <p>Invariant: the stock is never below 0 nor above its limit. Thread-safe.
 */
public final class TokenBucketRetryBudget implements RetryBudget {
    /** The most retries in stock: those of one lost engine. */
    private static final double STOCK = 64;

    private static final double PERCENT = 100;

    private final OrderedLock mLock = new OrderedLock(LockRank.LIMITS);
    private final double mEarned;
    private double mStock = STOCK;

    /**
     * Creates a budget with its stock full.
     *
     * @param retryPercent the retries earned by 100 requests; 0 allows no retry
     */
    public TokenBucketRetryBudget(int retryPercent) {
        mEarned = retryPercent / PERCENT;
        if (retryPercent == 0) {
            mStock = 0;
        }
    }

    @Override
    public void countRequest() {
        try (OrderedLock.Held _ = mLock.hold()) {
            mStock = Math.min(STOCK, mStock + mEarned);
        }
    }

    @Override
    public boolean tryTake() {
        try (OrderedLock.Held _ = mLock.hold()) {
            if (mStock < 1) {
                return false;
            }
            mStock--;
            return true;
        }
    }

    @Override
    public void giveBack() {
        try (OrderedLock.Held _ = mLock.hold()) {
            mStock = Math.min(STOCK, mStock + 1);
        }
    }
}
