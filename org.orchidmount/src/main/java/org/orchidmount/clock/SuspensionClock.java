/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.clock;

import java.time.Instant;
import java.util.function.LongSupplier;

/**
 * The clock of the machine, which counts the time that the machine was suspended, from {@link
 * #countBy} on.
 *
 * <p>A suspended instance must not wake up with a lease, a grant, a key or a reservation that ended
 * meanwhile. What it has promised and what it has measured come from one clock, so that to all of
 * them a suspension is what a frozen process is.
 *
 * <p>Invariant: the time goes on where it was when the counting begins. Thread-safe.
 */
public final class SuspensionClock implements MonotonicClock {
    private final LongSupplier mSteadyNanos;

    /** Null until suspensions are counted. */
    private volatile Counting mCounting;

    private record Counting(BootTime bootTime, long offsetNanos) {
        long nanoTime() {
            return bootTime.nanos() + offsetNanos;
        }
    }

    /** Creates the clock of this machine, which does not count suspensions yet. */
    public SuspensionClock() {
        this(System::nanoTime);
    }

    /**
     * Creates a clock.
     *
     * @param steadyNanos a time that never goes back, in nanoseconds
     */
    public SuspensionClock(LongSupplier steadyNanos) {
        mSteadyNanos = steadyNanos;
    }

    /**
     * Counts suspensions from now on.
     *
     * @param bootTime the time in which they count
     */
    public void countBy(BootTime bootTime) {
        // Read in this order, a pause between the two makes promises end early, never late.
        long bootNanos = bootTime.nanos();
        mCounting = new Counting(bootTime, mSteadyNanos.getAsLong() - bootNanos);
    }

    /**
     * Tells whether suspensions count.
     *
     * @return true after {@link #countBy}
     */
    public boolean countsSuspensions() {
        return mCounting != null;
    }

    @Override
    public long nanoTime() {
        Counting counting = mCounting;
        return counting == null ? mSteadyNanos.getAsLong() : counting.nanoTime();
    }

    @Override
    public Instant instant() {
        return Instant.now();
    }
}
