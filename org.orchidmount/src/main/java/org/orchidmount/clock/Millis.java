/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.clock;

/**
 * Converts spans of {@link MonotonicClock} to milliseconds with fractions, in which the rules
 * estimate, and back. Stateless and thread-safe.
 */
public final class Millis {
    private static final double NANOS_PER_MILLI = 1e6;

    private Millis() {}

    /**
     * Converts to milliseconds.
     *
     * @param nanos a span in nanoseconds
     * @return the same span in milliseconds
     */
    public static double ofNanos(long nanos) {
        return nanos / NANOS_PER_MILLI;
    }

    /**
     * Converts to nanoseconds.
     *
     * @param millis a span in milliseconds
     * @return the same span in nanoseconds, with fractions
     */
    public static double toNanos(double millis) {
        return millis * NANOS_PER_MILLI;
    }
}
