/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import java.time.Duration;
import java.util.random.RandomGenerator;
import org.orchidmount.clock.Millis;

/**
 * Why a refused caller gets this time to come back. Every refusal that has not run carries one.
 * Pure, but for the random source.
 */
public final class RetryAfter {
    /** The instance stops: the balancer already sends the caller to another. */
    public static final Duration INSTANCE_STOPS = Duration.ofMillis(50);

    /** No table is known yet: an instance that starts has one within a second. */
    public static final Duration NO_TABLE = Duration.ofMillis(500);

    /** Milliseconds; every refusal of a request to the table's upstreams. */
    public static final long TABLE_MILLIS = 1_000;

    /** Upstreams of a plain service refused: they have room again after some requests. */
    private static final Duration PLAIN_SERVICE = Duration.ofMillis(200);

    /** Times an output's ordinary time after which most of those that run now have ended. */
    private static final double MOST_ENDED_FACTOR = 1.2;

    /**
     * Share of an output's time over which the times are spread at random, so that those refused
     * together do not come back together.
     */
    private static final double SPREAD_SHARE = 0.7;

    /**
     * Share of the time to come back over which refusals by a limit are spread beyond it, so that
     * those refused together do not come back together, and none before there is room.
     */
    private static final double LIMIT_SPREAD_SHARE = 0.25;

    /**
     * No owner of a limit could be asked: there is another after an election, which begins 0.7 to
     * 1.4 s after the last one's word, or after a start of the voters. One that comes back sooner
     * is mostly refused for good.
     */
    private static final Duration NO_LIMIT_OWNER = Duration.ofMillis(1_400);

    private RetryAfter() {}

    /**
     * Returns the time for a request that found no place at a plain service.
     *
     * @return when to come back
     */
    public static Duration plainService() {
        return PLAIN_SERVICE;
    }

    /**
     * Returns the time for a request whose account has used up its limit.
     *
     * @param untilRoom when the limit is expected to have room for it
     * @param random spreads the times
     * @return when to come back, not before that
     */
    public static Duration limit(Duration untilRoom, RandomGenerator random) {
        double share = 1 + LIMIT_SPREAD_SHARE * random.nextDouble();
        return Duration.ofNanos((long) (share * untilRoom.toNanos()));
    }

    /**
     * Returns the time for a request whose account's limit nobody could tell.
     *
     * @param random spreads the times
     * @return when to come back
     */
    public static Duration noLimitOwner(RandomGenerator random) {
        double share = 1 + SPREAD_SHARE * random.nextDouble();
        return Duration.ofNanos((long) (share * NO_LIMIT_OWNER.toNanos()));
    }

    /**
     * Returns the time for a request that found no engine with room: by then the outputs that fill
     * the engines now have mostly ended.
     *
     * @param pace how fast the engines are
     * @param random spreads the times
     * @return when to come back
     */
    public static Duration engines(EnginePace pace, RandomGenerator random) {
        double millis =
                pace.outputMillis() * (MOST_ENDED_FACTOR + SPREAD_SHARE * random.nextDouble());
        return Duration.ofNanos((long) Millis.toNanos(millis));
    }
}
