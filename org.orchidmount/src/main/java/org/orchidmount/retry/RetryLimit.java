/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.retry;

import java.time.Duration;

/**
 * Limit on the retries of all instances together at one service. Immutable.
 *
 * @param ratio retries allowed per request, at least 0
 * @param window length of the window, above 0
 * @param slack retries allowed in each window in addition to the ratio, at least 0
 */
public record RetryLimit(double ratio, Duration window, int slack) {
    /** Age from which an entry no longer reports a request. */
    static final Duration MAX_REPORT_AGE = Duration.ofMillis(250);

    /** Time for which the owner keeps the credit of a reported request. */
    static final Duration CREDIT_LIFETIME = Duration.ofMillis(250);

    /** Time within which a permit is used, counted from the request for it. */
    public static final Duration PERMIT_LIFETIME = Duration.ofMillis(250);

    /** Time between a request and the last arrival of a retry that it covers. */
    static final Duration MAX_CREDIT_AGE =
            MAX_REPORT_AGE.plus(CREDIT_LIFETIME).plus(PERMIT_LIFETIME);

    /**
     * Creates a limit.
     *
     * @throws IllegalArgumentException if a value is out of range or not finite
     */
    public RetryLimit {
        if (!Double.isFinite(ratio) || ratio < 0) {
            throw new IllegalArgumentException("ratio is out of range: " + ratio);
        }
        if (window.compareTo(MAX_CREDIT_AGE) <= 0) {
            throw new IllegalArgumentException("window is too short: " + window);
        }
        if (slack < 0) {
            throw new IllegalArgumentException("slack is negative: " + slack);
        }
    }

    /**
     * Returns the credit of one request. Less than the ratio, because the requests that cover a
     * window begin {@link #MAX_CREDIT_AGE} before it.
     *
     * @return retries per request
     */
    public double creditPerRequest() {
        double windowNanos = window.toNanos();
        return ratio * windowNanos / (windowNanos + MAX_CREDIT_AGE.toNanos());
    }

    /**
     * Returns the limit that satisfies both this one and another one with the same window.
     *
     * @param other the other limit
     * @return the smaller ratio and slack
     */
    RetryLimit stricter(RetryLimit other) {
        return new RetryLimit(Math.min(ratio, other.ratio), window, Math.min(slack, other.slack));
    }
}
