/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.pacing;

import java.time.Duration;

/**
 * What a response of an upstream states of when it takes work of this instance again. Immutable.
 */
public sealed interface PauseStatement {
    /** The response asks for no pause. */
    PauseStatement NONE = new None();

    /** The response asks for no pause. One that was asked for before goes on. */
    record None() implements PauseStatement {}

    /**
     * The upstream takes nothing from this instance for so long.
     *
     * @param length the time from the response on, not negative
     */
    record Lasting(Duration length) implements PauseStatement {
        /** Checks the time. */
        public Lasting {
            if (length.isNegative()) {
                throw new IllegalArgumentException("a pause of " + length);
            }
        }
    }

    /**
     * The response states something that is no time.
     *
     * @param text what it states
     */
    record Unreadable(String text) implements PauseStatement {}
}
