/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.clock;

import java.time.InstantSource;

/**
 * A source of calendar time and of monotonic time.
 *
 * <p>Calendar time is for records that people read. Every age, lease and deadline inside a process
 * uses {@link #nanoTime()}, because calendar time can jump. Implementations are thread-safe.
 */
public interface MonotonicClock extends InstantSource {
    /**
     * Returns the monotonic time.
     *
     * @return nanoseconds since an arbitrary origin, as {@link System#nanoTime()}
     */
    long nanoTime();
}
