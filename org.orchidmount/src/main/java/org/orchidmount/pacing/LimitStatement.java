/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.pacing;

/** What a response of an upstream states of the requests that it takes. Immutable. */
public sealed interface LimitStatement {
    /** The response states no limit. */
    LimitStatement NONE = new None();

    /** The response states no limit, so that there is none any more. */
    record None() implements LimitStatement {}

    /**
     * The upstream takes so many requests from all instances together.
     *
     * @param perSecond requests a second, finite and at least 0
     */
    record PerSecond(double perSecond) implements LimitStatement {
        /** Checks the number. */
        public PerSecond {
            if (!Double.isFinite(perSecond) || perSecond < 0) {
                throw new IllegalArgumentException("a limit of " + perSecond + " a second");
            }
        }
    }

    /**
     * The response states something that is no limit. What was known before holds on.
     *
     * @param text what it states
     */
    record Unreadable(String text) implements LimitStatement {}
}
