/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.clock;

import java.time.Duration;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.orchidmount.internal.log.PartLog;

/**
 * Has a clock count suspensions some time after the start, and logs each suspension. Used by one
 * thread.
 */
public final class SuspensionWatch {
    private static final PartLog LOG = PartLog.of("clock");

    /** A suspension is logged this long after it at the latest. */
    private static final Duration LOOK = Duration.ofSeconds(1);

    /** What the two clocks of a machine differ by without a suspension is far less. */
    private static final Duration SHORTEST = Duration.ofMillis(100);

    private final SuspensionClock mClock;
    private final LongSupplier mSteadyNanos;
    private long mSuspendedNanos;

    SuspensionWatch(SuspensionClock clock, LongSupplier steadyNanos) {
        mClock = clock;
        mSteadyNanos = steadyNanos;
    }

    /**
     * Starts a thread that has a clock count suspensions.
     *
     * @param clock the clock
     * @param after how long after now: what it takes would delay the first requests of a start
     */
    public static void start(SuspensionClock clock, Duration after) {
        SuspensionWatch watch = new SuspensionWatch(clock, System::nanoTime);
        Thread.ofPlatform()
                .daemon()
                .name("suspension-watch")
                .start(() -> watch.run(LinuxBootTime::open, after));
    }

    private void run(Supplier<Optional<BootTime>> open, Duration after) {
        try {
            Thread.sleep(after);
            if (!count(open.get())) {
                return;
            }
            while (true) {
                Thread.sleep(LOOK);
                look();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Begins to count; returns false on a machine that has no clock to count by. */
    boolean count(Optional<BootTime> bootTime) {
        if (bootTime.isEmpty()) {
            LOG.warn(
                    "this machine has no clock that counts the time that it is suspended: do not"
                            + " suspend it, or leases and keys are held for too long afterwards");
            return false;
        }
        mClock.countBy(bootTime.get());
        mSuspendedNanos = suspendedNanos();
        LOG.info("the time that this machine is suspended counts from now on");
        return true;
    }

    /** Logs how long the machine was suspended since the last look, if it was. */
    void look() {
        long nowNanos = suspendedNanos();
        Duration suspended = Duration.ofNanos(nowNanos - mSuspendedNanos);
        mSuspendedNanos = nowNanos;
        if (suspended.compareTo(SHORTEST) > 0) {
            LOG.warn("this machine was suspended for %d ms", suspended.toMillis());
        }
    }

    private long suspendedNanos() {
        return mClock.nanoTime() - mSteadyNanos.getAsLong();
    }
}
