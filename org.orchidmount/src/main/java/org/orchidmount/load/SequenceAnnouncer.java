/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.load;

import java.util.function.IntSupplier;

/** Announces to the other instances what this one gives to engines. Thread-safe. */
public interface SequenceAnnouncer {
    /**
     * Announces a sequence that begins to the instances that can be reached, and again from time to
     * time until its end is announced. Returns at once.
     *
     * @param sequence the sequence
     * @param generatedTokens the tokens generated so far; asked from another thread
     */
    void begin(InFlightSequence sequence, IntSupplier generatedTokens);

    /**
     * Announces that a sequence has ended. Returns at once.
     *
     * @param sequence the sequence
     */
    void end(InFlightSequence sequence);

    /**
     * Tells whether this instance has received announcements for long enough to know nearly all
     * sequences in flight.
     *
     * @return false after a start and while the other instances cannot be reached
     */
    boolean isComplete();
}
