/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.limits;

/**
 * Allows retries in proportion to requests, so that retries cannot multiply a failure. Thread-safe.
 *
 * <p>The two request paths are held to different limits. {@link TokenBucketRetryBudget} bounds the
 * retries of one instance against the table's upstreams, where a stock for one lost engine is what
 * matters. {@link WindowRetryBudget} keeps a limit that all instances share, and that is checked
 * over every window of time.
 */
public interface RetryBudget {
    /** Counts a request, which earns a part of a retry. */
    void countRequest();

    /**
     * Takes one retry.
     *
     * @return false if the budget is spent
     */
    boolean tryTake();

    /** Gives a retry back that was taken and not made, because no upstream had room for it. */
    void giveBack();
}
