/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.pacing;

import java.util.OptionalDouble;
import org.orchidmount.membership.Incarnation;

/**
 * What is known of the limit of one incarnation of an upstream. Immutable.
 *
 * <p>Each change has a version one above the one that it follows, so that of two that contradict
 * each other all instances keep the same, in whatever order they receive them. Of two with one
 * version, made at two instances at once, the stricter holds.
 *
 * @param upstream the incarnation
 * @param perSecond requests a second that it takes from all instances together, finite and at least
 *     0; nothing if it states no limit any more
 * @param version the number of the change, at least 1
 * @param teller the name of the instance that the upstream told
 */
public record UpstreamLimit(
        Incarnation upstream, OptionalDouble perSecond, long version, String teller) {
    /** Checks the numbers. */
    public UpstreamLimit {
        double number = perSecond.orElse(0);
        if (!Double.isFinite(number) || number < 0) {
            throw new IllegalArgumentException("a limit of " + number + " a second");
        }
        if (version < 1) {
            throw new IllegalArgumentException("a limit of version " + version + ", below 1");
        }
    }

    /**
     * Tells whether the upstream states a limit.
     *
     * @return false if it has ceased to
     */
    public boolean isInForce() {
        return perSecond.isPresent();
    }

    /**
     * Tells whether this takes the place of another record of the same incarnation.
     *
     * @param other the other record
     * @return true if it is newer, or as new and stricter
     */
    public boolean isNewerThan(UpstreamLimit other) {
        if (version != other.version) {
            return version > other.version;
        }
        return orInfinite() < other.orInfinite();
    }

    private double orInfinite() {
        return perSecond.orElse(Double.POSITIVE_INFINITY);
    }

    /** Returns the limit in words, for logs. */
    @Override
    public String toString() {
        String limit =
                isInForce() ? perSecond.getAsDouble() + " requests a second" : "any requests";
        return "%s takes %s (change %d, told to %s)".formatted(upstream, limit, version, teller);
    }
}
