/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.pacing;

/** Rate limit that a response of an upstream states. Immutable. */
public sealed interface LimitStatement {
    /** The response states no limit. */
    LimitStatement NONE = new None();

    /** The response states no limit, which revokes an earlier one. */
    record None() implements LimitStatement {}

    /**
     * Rate that the upstream accepts from all instances together.
     *
     * @param perSecond requests per second, finite and at least 0
     */
    record PerSecond(double perSecond) implements LimitStatement {
        /**
         * Creates a statement.
         *
         * @throws IllegalArgumentException if the rate is negative or not finite
         */
        public PerSecond {
            if (!Double.isFinite(perSecond) || perSecond < 0) {
                throw new IllegalArgumentException(
                        "invalid rate limit stated by an upstream: "
                                + perSecond
                                + " requests per second");
            }
        }
    }

    /**
     * The response states a limit that cannot be parsed. The previous limit remains in force.
     *
     * @param text text of the statement
     */
    record Unreadable(String text) implements LimitStatement {}
}
