/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.load;

import java.util.function.IntSupplier;

/** Spreads what this instance gives to engines to the other instances. Thread-safe. */
public interface RunNews {
    /**
     * Tells the other instances of a run that begins, as far as they can be reached, and again and
     * again until its end is told. Returns at once.
     *
     * @param run the run
     * @param madeTokens the tokens made so far; asked from another thread
     */
    void begin(EngineRun run, IntSupplier madeTokens);

    /**
     * Tells the other instances that a run has ended. Returns at once.
     *
     * @param run the run
     */
    void end(EngineRun run);

    /**
     * Tells whether this instance has been hearing of the others' runs for long enough to know
     * nearly all that are under way.
     *
     * @return false after a start and while the others cannot be reached
     */
    boolean isComplete();
}
