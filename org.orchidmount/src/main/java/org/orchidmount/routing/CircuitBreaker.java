/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import java.time.Duration;

/**
 * Ejection of an upstream of the table after three consecutive failures; used by the blackboard.
 *
 * <p>After the ejection the circuit is half open: one more failure ejects again, and a success
 * closes the circuit. Immutable.
 *
 * @param consecutiveFailures failures since the last success
 * @param openedNanos monotonic time at which the latest failure opened the circuit; meaningless
 *     below the threshold
 */
public record CircuitBreaker(int consecutiveFailures, long openedNanos) implements OutlierEjection {
    /** State of a closed circuit without failures. */
    public static final CircuitBreaker CLOSED = new CircuitBreaker(0, 0);

    /** Consecutive failures that open the circuit; a single failure is weak evidence. */
    private static final int FAILURES_TO_OPEN = 3;

    /** Time for which the circuit stays open: eight polling intervals of engine reports. */
    private static final Duration OPEN = Duration.ofSeconds(2);

    @Override
    public CircuitBreaker afterFailure(long nowNanos) {
        boolean halfOpen = consecutiveFailures >= FAILURES_TO_OPEN && !isEjected(nowNanos);
        int before = halfOpen ? FAILURES_TO_OPEN - 1 : consecutiveFailures;
        return new CircuitBreaker(before + 1, nowNanos);
    }

    @Override
    public CircuitBreaker afterSuccess() {
        return CLOSED;
    }

    @Override
    public boolean isEjected(long nowNanos) {
        return consecutiveFailures >= FAILURES_TO_OPEN && nowNanos - openedNanos < OPEN.toNanos();
    }
}
