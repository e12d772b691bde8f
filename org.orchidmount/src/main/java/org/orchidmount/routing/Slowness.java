/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import java.time.Duration;
import java.util.stream.Stream;

/**
 * How much longer an upstream takes than one of ordinary speed would, queueing included. What was
 * observed counts less as time passes; then an upstream is expected to be as fast as the fastest of
 * its service, but not slower than ordinary. Immutable.
 *
 * @param factor the smoothed ratio, 1 for ordinary speed, at {@code atNanos}
 * @param atNanos the monotonic time of the latest observation
 */
public record Slowness(double factor, long atNanos) {
    /** Of an upstream of which nothing was observed. */
    public static final Slowness NONE = new Slowness(1, 0);

    /** The factor of ordinary speed. */
    public static final double ORDINARY = 1;

    /** Smoothing factor: how much one answer counts. */
    private static final double SMOOTHING = 0.3;

    /** An observation counts half after this time, or a slow upstream got no second chance. */
    private static final Duration HALF_LIFE = Duration.ofMillis(1_500);

    /** Bounds of one observation: a fast cached answer or a pause is no measure. */
    private static final double MIN_RATIO = 0.7;

    /** The largest ratio that one observation counts as. */
    private static final double MAX_RATIO = 10;

    /** Takes the ratio of the time that an answer took to the time that was expected of it. */
    Slowness afterAnswer(double ratio, double unobserved, long nowNanos) {
        double bounded = Math.clamp(ratio, MIN_RATIO, MAX_RATIO);
        double before = at(nowNanos, unobserved);
        return new Slowness(before + SMOOTHING * (bounded - before), nowNanos);
    }

    /**
     * Returns what is expected now.
     *
     * @param nowNanos the present time
     * @param unobserved the factor of an upstream of which nothing was observed lately
     * @return the factor
     */
    double at(long nowNanos, double unobserved) {
        return unobserved + (factor - unobserved) * weight(nowNanos);
    }

    private double weight(long nowNanos) {
        return atNanos == 0 ? 0 : ExponentialDecay.weight(nowNanos - atNanos, HALF_LIFE);
    }

    /**
     * Returns the factor of an upstream of which nothing was observed lately: that of the fastest
     * of the others, or 1 if that is less. If it were more, those in use would stay ahead of an
     * upstream that had been passed over for a while, which would be passed over for good.
     *
     * @param others what was observed of the upstreams of the service
     * @param nowNanos the present time
     * @return the factor, at most 1
     */
    public static double unobserved(Stream<Slowness> others, long nowNanos) {
        return others.mapToDouble(other -> other.at(nowNanos, ORDINARY))
                .reduce(ORDINARY, Math::min);
    }
}
