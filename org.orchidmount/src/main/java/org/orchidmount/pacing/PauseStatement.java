/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.pacing;

import java.time.Duration;

/** Pause that a response of an upstream requests of this instance. Immutable. */
public sealed interface PauseStatement {
    /** The response requests no pause. */
    PauseStatement NONE = new None();

    /** The response requests no pause. A pause requested earlier continues. */
    record None() implements PauseStatement {}

    /**
     * The upstream accepts nothing from this instance for a period.
     *
     * @param length time from the response on, not negative
     */
    record Lasting(Duration length) implements PauseStatement {
        /**
         * Creates a statement.
         *
         * @throws IllegalArgumentException if the time is negative
         */
        public Lasting {
            if (length.isNegative()) {
                throw new IllegalArgumentException("pause must not be negative, got " + length);
            }
        }
    }

    /**
     * The response requests a pause that cannot be parsed.
     *
     * @param text text of the statement
     */
    record Unreadable(String text) implements PauseStatement {}
}
