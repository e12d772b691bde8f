/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.clock;

/**
 * Time since the machine started, in which the time that it was suspended counts. Thread-safe.
 *
 * <p>Source: on Linux {@code CLOCK_BOOTTIME}, where the steady clock of the virtual machine is
 * {@code CLOCK_MONOTONIC}, which stands still while the machine is suspended.
 */
@FunctionalInterface
public interface BootTime {
    /**
     * Returns the time.
     *
     * @return nanoseconds since an arbitrary origin, which never go back
     */
    long nanos();
}
