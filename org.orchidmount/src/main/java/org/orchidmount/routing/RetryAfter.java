/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Why a refused caller gets this time to come back. Every refusal that has not run carries one.
 * Pure, but for the random source.
 */
public final class RetryAfter {
    /** The instance stops: the balancer already sends the caller to another. Chosen. */
    public static final Duration INSTANCE_STOPS = Duration.ofMillis(50);

    /** No table is known yet: an instance that starts has one within a second. Chosen. */
    public static final Duration NO_TABLE = Duration.ofMillis(500);

    /** Milliseconds; every refusal of a request to the table's upstreams. Chosen, not measured. */
    public static final long TABLE_MILLIS = 1_000;

    /** Upstreams of a plain service refused: they have room again after some requests. Chosen. */
    private static final Duration PLAIN_SERVICE = Duration.ofMillis(200);

    /** Engines are full: an output takes some 3 s (trials df3ef6c3 to 08ae6f6f). */
    private static final Duration ENGINES = Duration.ofSeconds(3);

    /** Spread at random over this, so that those refused together do not come back together. */
    private static final Duration ENGINES_SPREAD = Duration.ofMillis(1_600);

    private RetryAfter() {}

    /**
     * Returns the time for a request that found no upstream with room.
     *
     * @param isForEngines whether it was for model engines
     * @param random spreads the times
     * @return when to come back
     */
    public static Duration noRoom(boolean isForEngines, RandomGenerator random) {
        if (!isForEngines) {
            return PLAIN_SERVICE;
        }
        return ENGINES.plusMillis(random.nextLong(ENGINES_SPREAD.toMillis()));
    }
}
