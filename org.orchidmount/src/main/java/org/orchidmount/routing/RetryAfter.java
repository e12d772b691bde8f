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
 * Decides after which time a refused caller should retry. Every refusal of a request that has not
 * run carries such a time. Pure, apart from the random source.
 */
public final class RetryAfter {
    /**
     * For an instance that is stopping: the load balancer already sends the caller to another one.
     */
    public static final Duration INSTANCE_STOPS = Duration.ofMillis(50);

    /** For an instance without a table: an instance receives one within a second of its start. */
    public static final Duration NO_TABLE = Duration.ofMillis(500);

    /** For every refusal of a request to the upstreams of the table, in milliseconds. */
    public static final long TABLE_MILLIS = 1_000;

    /**
     * For a request that the upstreams of a plain service refused: they have capacity again after a
     * few requests.
     */
    private static final Duration PLAIN_SERVICE = Duration.ofMillis(200);

    /** Multiple of the mean output duration after which most outputs in progress have ended. */
    private static final double OUTPUTS_ENDED_FACTOR = 1.2;

    /**
     * Fraction of the mean output duration over which retries are spread at random, so that callers
     * refused at the same time do not return at the same time.
     */
    private static final double SPREAD_SHARE = 0.7;

    /**
     * Fraction of the time until a limit has room over which retries are spread beyond that time,
     * so that callers refused at the same time do not return at the same time, and none returns too
     * early.
     */
    private static final double LIMIT_SPREAD_SHARE = 0.25;

    /**
     * Lower bound of the time after which a caller retries a request that found no room: some 40
     * sequences end in it on the sites, so that a forecast that was too early is corrected.
     */
    private static final double MIN_ROOM_MILLIS = 50;

    /**
     * For a request whose limit has no reachable owner: a new owner is elected after an election,
     * which begins 0.7 to 1.4 s after the last message of the previous owner or after a start of
     * the voters. A caller that returns earlier is mostly refused for good.
     */
    private static final Duration NO_LIMIT_OWNER = Duration.ofMillis(1_400);

    /** Bounds of the time to return during an outage. */
    private static final Duration MIN_OUTAGE = Duration.ofMillis(300);

    private static final Duration MAX_OUTAGE = Duration.ofSeconds(2);

    /** Bounds of the time to return when the bodies of other requests take the memory. */
    private static final Duration MIN_BODY_MEMORY = Duration.ofMillis(200);

    private static final Duration MAX_BODY_MEMORY = Duration.ofSeconds(2);

    private RetryAfter() {}

    /**
     * Returns the retry time for a request for whose body there is no memory: by then, most of the
     * bodies that are held now are not held any more.
     *
     * @param holdTime how long bodies are held on average
     * @param random random source for spreading retries
     * @return time after which the caller should retry
     */
    public static Duration bodyMemory(Duration holdTime, RandomGenerator random) {
        long millis =
                Math.clamp(
                        holdTime.toMillis(),
                        MIN_BODY_MEMORY.toMillis(),
                        MAX_BODY_MEMORY.toMillis());
        return limit(Duration.ofMillis(millis), random);
    }

    /**
     * Returns the retry time for a request while no upstream can be reached, or all refuse their
     * work. An outage that has lasted for some time is expected to last as long again.
     *
     * @param outage how long the outage has lasted so far
     * @param random random source for spreading retries
     * @return time after which the caller should retry
     */
    public static Duration outage(Duration outage, RandomGenerator random) {
        long millis = Math.clamp(outage.toMillis(), MIN_OUTAGE.toMillis(), MAX_OUTAGE.toMillis());
        return Duration.ofMillis((long) (millis * (1 + SPREAD_SHARE * random.nextDouble())));
    }

    /**
     * Returns the retry time for a request that no upstream of a plain service accepted.
     *
     * @return time after which the caller should retry
     */
    public static Duration plainService() {
        return PLAIN_SERVICE;
    }

    /**
     * Returns the retry time for a request whose account has used up its limit.
     *
     * @param untilRoom time until the limit is expected to have room for the request
     * @param random random source for spreading retries
     * @return time after which the caller should retry, at least {@code untilRoom}
     */
    public static Duration limit(Duration untilRoom, RandomGenerator random) {
        double factor = 1 + LIMIT_SPREAD_SHARE * random.nextDouble();
        return Duration.ofNanos((long) (factor * untilRoom.toNanos()));
    }

    /**
     * Returns the retry time for a request whose account's limit could not be checked.
     *
     * @param random random source for spreading retries
     * @return time after which the caller should retry
     */
    public static Duration noLimitOwner(RandomGenerator random) {
        double factor = 1 + SPREAD_SHARE * random.nextDouble();
        return Duration.ofNanos((long) (factor * NO_LIMIT_OWNER.toNanos()));
    }

    /**
     * Returns the retry time for a request for which the time to room is forecast.
     *
     * @param roomMillis forecast time to room; at most as long as without a forecast counts
     * @param speed measured speed of the engines
     * @param random random source for spreading retries
     * @return time after which the caller should retry, up to a quarter more than the forecast
     */
    public static Duration room(double roomMillis, EngineSpeed speed, RandomGenerator random) {
        double longestMillis =
                Math.max(MIN_ROOM_MILLIS, OUTPUTS_ENDED_FACTOR * speed.outputMillis());
        double millis = Math.clamp(roomMillis, MIN_ROOM_MILLIS, longestMillis);
        return limit(Duration.ofNanos((long) Millis.toNanos(millis)), random);
    }

    /**
     * Returns the retry time for a request that no engine had room for: by then, most of the
     * outputs in progress have ended.
     *
     * @param speed measured speed of the engines
     * @param random random source for spreading retries
     * @return time after which the caller should retry
     */
    public static Duration engines(EngineSpeed speed, RandomGenerator random) {
        double millis =
                speed.outputMillis() * (OUTPUTS_ENDED_FACTOR + SPREAD_SHARE * random.nextDouble());
        return Duration.ofNanos((long) Millis.toNanos(millis));
    }
}
