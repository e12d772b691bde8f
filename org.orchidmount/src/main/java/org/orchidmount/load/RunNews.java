/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.load;

/** Spreads what this instance gives to engines to the other instances. Thread-safe. */
public interface RunNews {
    /**
     * Tells the other instances of a run, as far as they can be reached. Returns at once.
     *
     * @param run the run
     */
    void tell(EngineRun run);

    /**
     * Tells whether this instance has been hearing of the others' runs for long enough to know
     * nearly all that are under way.
     *
     * @return false after a start and while the others cannot be reached
     */
    boolean isComplete();
}
