/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import java.time.Duration;
import java.util.Optional;

/** What may keep a request from being sent to an upstream while it is relayed. Thread-safe. */
@FunctionalInterface
public interface ServingTerms {
    /**
     * Returns whether the table in force still allows the request.
     *
     * @return false if no further attempt may be made
     */
    boolean isStillAllowed();

    /**
     * Returns the planned stop of this instance.
     *
     * @return empty if the instance is not stopping
     */
    default Optional<PlannedStop> plannedStop() {
        return Optional.empty();
    }

    /**
     * A planned stop that has begun.
     *
     * @param untilCut the time until responses that still run are cut; not positive once it is over
     * @param retryAfter the time after which callers are expected to reach other instances
     */
    record PlannedStop(Duration untilCut, Duration retryAfter) {}
}
