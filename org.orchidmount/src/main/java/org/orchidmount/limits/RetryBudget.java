/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.limits;

/**
 * Limits retries in proportion to requests, so that retries cannot amplify a failure. Thread-safe.
 *
 * <p>The two request paths have different limits. {@link TokenBucketRetryBudget} bounds the retries
 * of one instance against the upstreams of the table, where the burst after the loss of one engine
 * matters. {@link WindowRetryBudget} keeps a limit that is shared by all instances and that is
 * checked over every time window.
 */
public interface RetryBudget {
    /** Records a request, which earns a fraction of a retry. */
    void recordRequest();

    /**
     * Acquires one retry.
     *
     * @return false if the budget is exhausted
     */
    boolean tryAcquire();

    /** Returns a retry that was acquired but not made, because no upstream had capacity for it. */
    void refund();
}
