/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.waiting;

import java.util.List;

/** A way to decide in which order the waiting requests of a simulated site are placed. */
interface QueueDesign {
    /**
     * Handles a request that begins to wait.
     *
     * @param request the request
     * @param nowMillis the current time
     */
    void arrived(SimulatedRequest request, long nowMillis);

    /**
     * Decides what a request does at one of its searches.
     *
     * @param request the request
     * @param engines the engines as entries see them
     * @param nowMillis the current time
     * @return the decision
     */
    RoomRule.Decision decide(
            SimulatedRequest request, List<RoomForecast.Engine> engines, long nowMillis);

    /**
     * Handles a request that no longer waits.
     *
     * @param request the request
     * @param nowMillis the current time
     */
    void left(SimulatedRequest request, long nowMillis);

    /** Returns whether requests search again when the end of a sequence becomes known. */
    default boolean wakesOnEnds() {
        return true;
    }

    /** Returns the number of messages sent so far. */
    long messages();

    /** Returns the number of messages that the busiest instance has handled so far. */
    long busiestMessages();
}
