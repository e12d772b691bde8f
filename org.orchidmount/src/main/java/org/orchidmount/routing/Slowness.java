/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import java.time.Duration;

/**
 * How much longer an upstream takes than one of ordinary speed would, queueing included. Immutable.
 *
 * @param factor the smoothed ratio, 1 for ordinary speed, at {@code atNanos}
 * @param atNanos the monotonic time of the latest observation
 */
public record Slowness(double factor, long atNanos) {
    /** Ordinary speed. */
    public static final Slowness NONE = new Slowness(1, 0);

    /** Smoothing factor: how much one answer counts. */
    private static final double SMOOTHING = 0.3;

    /** Returns to ordinary speed by half in this time, or a slow upstream got no second chance. */
    private static final Duration HALF_LIFE = Duration.ofMillis(1_500);

    /** Bounds of one observation: a fast cached answer or a pause is no measure. */
    private static final double MIN_RATIO = 0.7;

    /** The largest ratio that one observation counts as. */
    private static final double MAX_RATIO = 10;

    /** Takes the ratio of the time that an answer took to the time that was expected of it. */
    Slowness afterAnswer(double ratio, long nowNanos) {
        double bounded = Math.clamp(ratio, MIN_RATIO, MAX_RATIO);
        double before = at(nowNanos);
        return new Slowness(before + SMOOTHING * (bounded - before), nowNanos);
    }

    double at(long nowNanos) {
        return 1 + (factor - 1) * ExponentialDecay.weight(nowNanos - atNanos, HALF_LIFE);
    }
}
