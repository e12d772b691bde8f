/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.pacing;

import java.util.OptionalDouble;
import org.orchidmount.membership.Incarnation;

/**
 * Rate limit of one incarnation of an upstream. Immutable.
 *
 * <p>Each change has the version of its predecessor plus one, so that all instances keep the same
 * of two contradictory records, in whatever order they receive them. Of two records with the same
 * version, created concurrently at two instances, the stricter one holds.
 *
 * @param upstream incarnation of the upstream
 * @param perSecond requests per second that it accepts from all instances together, finite and at
 *     least 0; empty if it no longer states a limit
 * @param version number of the change, at least 1
 * @param receiver name of the instance that received the statement from the upstream
 */
public record UpstreamLimit(
        Incarnation upstream, OptionalDouble perSecond, long version, String receiver) {
    /**
     * Creates a limit.
     *
     * @throws IllegalArgumentException if the rate or the version is out of range
     */
    public UpstreamLimit {
        double number = perSecond.orElse(0);
        if (!Double.isFinite(number) || number < 0) {
            throw new IllegalArgumentException(
                    "invalid rate limit of an upstream: " + number + " requests per second");
        }
        if (version < 1) {
            throw new IllegalArgumentException(
                    "version " + version + " of a rate limit is below 1");
        }
    }

    /**
     * Returns whether the upstream states a limit.
     *
     * @return false if it no longer does
     */
    public boolean isInForce() {
        return perSecond.isPresent();
    }

    /**
     * Returns whether this record replaces another one of the same incarnation.
     *
     * @param other the other record
     * @return true if the version is higher, or is the same and the limit stricter
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

    /** Returns a description of the limit, for logs. */
    @Override
    public String toString() {
        String limit =
                isInForce()
                        ? perSecond.getAsDouble() + " requests per second"
                        : "requests at any rate";
        return "%s accepts %s (version %d, received by %s)"
                .formatted(upstream, limit, version, receiver);
    }
}
