/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import java.time.Duration;
import java.util.stream.Stream;

/**
 * Ratio of the response time of an upstream to that of an upstream of nominal speed, queueing
 * included. The weight of an observation decays with time; the upstream is then expected to be as
 * fast as the fastest of its service, but never slower than nominal. Immutable.
 *
 * @param factor smoothed ratio as of {@code atNanos}; 1 for nominal speed
 * @param atNanos monotonic time of the latest observation; 0 if there is none
 */
public record Slowness(double factor, long atNanos) {
    /** State of an upstream without observations. */
    public static final Slowness NONE = new Slowness(1, 0);

    /** Factor of an upstream of nominal speed. */
    public static final double NOMINAL = 1;

    /** Smoothing factor: the weight of one answer. */
    private static final double SMOOTHING = 0.3;

    /** Half-life of an observation. Without decay, a slow upstream would get no second chance. */
    private static final Duration HALF_LIFE = Duration.ofMillis(1_500);

    /**
     * Lower bound of one observation, because a fast answer from a cache says nothing about the
     * speed.
     */
    private static final double MIN_RATIO = 0.7;

    /**
     * Upper bound of one observation, because a pause of the upstream says nothing about its speed.
     */
    private static final double MAX_RATIO = 10;

    /** Records an answer by the ratio of its actual to its expected time. */
    Slowness afterResponse(double ratio, double unobserved, long nowNanos) {
        double bounded = Math.clamp(ratio, MIN_RATIO, MAX_RATIO);
        double before = at(nowNanos, unobserved);
        return new Slowness(before + SMOOTHING * (bounded - before), nowNanos);
    }

    /**
     * Returns the factor expected now.
     *
     * @param nowNanos current monotonic time
     * @param unobserved factor of an upstream without recent observations
     * @return the decayed factor
     */
    double at(long nowNanos, double unobserved) {
        return unobserved + (factor - unobserved) * weight(nowNanos);
    }

    private double weight(long nowNanos) {
        return atNanos == 0 ? 0 : ExponentialDecay.weight(nowNanos - atNanos, HALF_LIFE);
    }

    /**
     * Returns the factor of an upstream without recent observations: that of the fastest other
     * upstream, or 1 if that is less. With a larger factor, the upstreams in use would always be
     * preferred to one that had not been chosen for a while, and it would never be chosen again.
     *
     * @param others observations of the upstreams of the service
     * @param nowNanos current monotonic time
     * @return the factor, at most 1
     */
    public static double unobserved(Stream<Slowness> others, long nowNanos) {
        return others.mapToDouble(other -> other.at(nowNanos, NOMINAL)).reduce(NOMINAL, Math::min);
    }
}
