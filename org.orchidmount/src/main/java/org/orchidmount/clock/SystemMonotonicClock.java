/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.clock;

import java.time.Instant;

/** The clock of the machine. It holds no state and is thread-safe. */
public final class SystemMonotonicClock implements MonotonicClock {
    @Override
    public Instant instant() {
        return Instant.now();
    }

    @Override
    public long nanoTime() {
        return System.nanoTime();
    }
}
