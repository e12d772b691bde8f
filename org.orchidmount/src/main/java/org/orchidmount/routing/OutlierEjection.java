/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

/**
 * Decides for how long an upstream that fails is ejected, that is, gets no work while others can.
 * Implementations are immutable; times are monotonic nanoseconds of one clock.
 *
 * <p>The two request paths need different rules. {@link CircuitBreaker}: engines of the table are
 * polled for reports, which close the circuit early, so it may stay open for seconds. {@link
 * FailureBackoff}: nothing polls an upstream that registers itself, so only requests can find out
 * that it is well again, and the first ejection is short.
 */
public sealed interface OutlierEjection permits CircuitBreaker, FailureBackoff {
    /**
     * Counts a failure.
     *
     * @param nowNanos the present time
     * @return the state after it
     */
    OutlierEjection afterFailure(long nowNanos);

    /**
     * Counts a success, which ends an ejection.
     *
     * @return the state after it
     */
    OutlierEjection afterSuccess();

    /**
     * Tells whether the upstream is ejected.
     *
     * @param nowNanos the present time
     * @return false if it may be chosen like any other
     */
    boolean isEjected(long nowNanos);
}
