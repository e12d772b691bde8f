/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.junit;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Waits for what a test expects to happen, with a bound. Stateless and thread-safe. */
public final class Await {
    /** A bound so generous that only a defect reaches it. */
    public static final Duration LONG = Duration.ofSeconds(60);

    private static final long POLL_NANOS = 5_000_000;

    private Await() {}

    /**
     * Waits until a condition holds.
     *
     * @param what names the condition
     * @param longest the bound
     * @param condition the condition
     * @return how long it took
     * @throws AssertionError if it does not hold in time
     */
    public static Duration until(String what, Duration longest, BooleanSupplier condition) {
        return until(what, longest, condition, () -> "");
    }

    /**
     * Waits until a condition holds.
     *
     * @param what names the condition
     * @param longest the bound
     * @param condition the condition
     * @param detail describes the state if it does not hold in time
     * @return how long it took
     * @throws AssertionError if it does not hold in time
     */
    public static Duration until(
            String what, Duration longest, BooleanSupplier condition, Supplier<String> detail) {
        long startNanos = System.nanoTime();
        while (true) {
            if (condition.getAsBoolean()) {
                return Duration.ofNanos(System.nanoTime() - startNanos);
            }
            if (System.nanoTime() - startNanos > longest.toNanos()) {
                throw new AssertionError(
                        what + ": not within " + longest.toMillis() + " ms " + detail.get());
            }
            LockSupport.parkNanos(POLL_NANOS);
        }
    }
}
