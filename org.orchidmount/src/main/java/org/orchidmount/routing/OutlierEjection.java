/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

/**
 * Decides for how long a failing upstream is ejected, that is, receives no work while other
 * upstreams are available. Implementations are immutable; times are monotonic nanoseconds of one
 * clock.
 *
 * <p>The two request paths need different rules. {@link CircuitBreaker}: engines of the table are
 * polled for reports, which close the circuit early, so it may stay open for seconds. {@link
 * FailureBackoff}: upstreams that register themselves are not polled, so only requests can detect
 * their recovery, and the first ejection is short.
 */
public sealed interface OutlierEjection permits CircuitBreaker, FailureBackoff {
    /**
     * Records a failure.
     *
     * @param nowNanos current monotonic time
     * @return the updated state
     */
    OutlierEjection afterFailure(long nowNanos);

    /**
     * Records a success, which ends an ejection.
     *
     * @return the updated state
     */
    OutlierEjection afterSuccess();

    /**
     * Returns whether the upstream is ejected.
     *
     * @param nowNanos current monotonic time
     * @return false if the upstream may be chosen like any other
     */
    boolean isEjected(long nowNanos);
}
