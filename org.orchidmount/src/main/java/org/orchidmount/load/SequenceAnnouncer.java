/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.load;

import java.util.function.IntSupplier;

/**
 * Announces the sequences that this instance places on engines to the other instances. Thread-safe.
 */
public interface SequenceAnnouncer {
    /**
     * Announces a sequence to all reachable instances, and repeats the announcement periodically
     * until {@link #end} is called. Does not block.
     *
     * @param sequence the placed sequence
     * @param generatedTokens supplier of the tokens generated so far; called from another thread
     */
    void begin(InFlightSequence sequence, IntSupplier generatedTokens);

    /**
     * Announces that a sequence has ended. Does not block.
     *
     * @param sequence the sequence
     */
    void end(InFlightSequence sequence);

    /**
     * Returns whether this instance has received announcements for long enough to know nearly all
     * sequences in flight.
     *
     * @return false shortly after a start and while the other instances cannot be reached
     */
    boolean isComplete();
}
