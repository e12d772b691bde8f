/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import java.time.Duration;

/**
 * Ejects an upstream of the table after three failures in a row; used by the blackboard.
 *
 * <p>After the ejection the circuit is half open: one more failure ejects again, a success closes
 * the circuit. Immutable.
 *
 * @param consecutiveFailures the failures since the last success
 * @param openedNanos when the latest failure opened the circuit; meaningless below the threshold
 */
public record CircuitBreaker(int consecutiveFailures, long openedNanos) implements OutlierEjection {
    /** A closed circuit. */
    public static final CircuitBreaker CLOSED = new CircuitBreaker(0, 0);

    /** Failures in a row that open the circuit: one failure proves little. */
    private static final int FAILURES_TO_OPEN = 3;

    /** How long the circuit stays open: eight polls of an engine's report. */
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
