/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.retry;

import java.time.Duration;
import java.util.OptionalLong;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.limits.RetryBudget;

/** The retries of one service at one entry. Thread-safe. */
public final class ServiceRetries {
    /** Time for which a permit is valid. */
    private static final Duration PERMIT_LIFETIME = Duration.ofMillis(250);

    private final RetryBudget mBudget;
    private final MonotonicClock mClock;

    ServiceRetries(RetryBudget budget, MonotonicClock clock) {
        mBudget = budget;
        mClock = clock;
    }

    /** Records a request for the service. */
    public void recordRequest() {
        mBudget.recordRequest();
    }

    /**
     * Acquires some retries, or none.
     *
     * @param retries number of retries, at least 1
     * @return monotonic time until which they may be sent; empty if the limit is used up
     */
    OptionalLong tryAcquire(int retries) {
        int acquired = 0;
        while (acquired < retries && mBudget.tryAcquire()) {
            acquired++;
        }
        if (acquired < retries) {
            for (int i = 0; i < acquired; i++) {
                mBudget.refund();
            }
            return OptionalLong.empty();
        }
        return OptionalLong.of(mClock.nanoTime() + PERMIT_LIFETIME.toNanos());
    }
}
