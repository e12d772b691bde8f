/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.junit;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.atomic.AtomicLong;
import org.orchidmount.clock.MonotonicClock;

/** A clock that stands still until a test moves it. Thread-safe. */
public final class ManualClock implements MonotonicClock {
    private final AtomicLong mNanos = new AtomicLong(1);

    /**
     * Lets time pass.
     *
     * @param time how much
     */
    public void advance(Duration time) {
        mNanos.addAndGet(time.toNanos());
    }

    @Override
    public long nanoTime() {
        return mNanos.get();
    }

    @Override
    public Instant instant() {
        return Instant.EPOCH.plusNanos(mNanos.get());
    }
}
