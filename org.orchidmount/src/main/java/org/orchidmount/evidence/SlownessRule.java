/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.evidence;

import java.time.Duration;

/**
 * Decides how slow an engine is from the measurements of all entries. Pure.
 *
 * <p>A measurement is the time that a piece of work took, divided by the time expected at the mean
 * speed of the service. Measurements are averaged as logarithms, so that half and twice the speed
 * have the same weight.
 */
public final class SlownessRule {
    /** Slowness of an engine that runs at the mean speed of its service. */
    public static final double NOMINAL = 1;

    /** Lower bound of the slowness. */
    public static final double MIN = 0.4;

    /** Upper bound of the slowness. */
    public static final double MAX = 4;

    /** Half-life of the weight of a measurement. */
    public static final Duration HALF_LIFE = Duration.ofSeconds(20);

    /**
     * Number of measurements at nominal speed that the prior counts as, so that one output which
     * was delayed by a stall of its engine hardly changes the estimate.
     */
    private static final double PRIOR_MEASUREMENTS = 4;

    /** Bound of the logarithm of one measurement. */
    private static final double MAX_LOG = Math.log(MAX);

    private SlownessRule() {}

    /**
     * Returns the slowness of an engine.
     *
     * @param meanLog mean of the logarithms of the measurements
     * @param weight number of measurements, decayed by age
     * @return the factor by which the engine takes longer than the mean of its service, between
     *     {@link #MIN} and {@link #MAX}
     */
    public static double slowness(double meanLog, double weight) {
        double log = meanLog * weight / (weight + PRIOR_MEASUREMENTS);
        return Math.clamp(Math.exp(log), MIN, MAX);
    }

    /**
     * Returns the logarithm of one measurement, bounded so that no single one dominates.
     *
     * @param tookMillis time that the work took
     * @param nominalMillis time expected at the mean speed of the service
     * @return the logarithm; 0 if one of the times is not positive
     */
    public static double logRatio(double tookMillis, double nominalMillis) {
        if (!(tookMillis > 0) || !(nominalMillis > 0)) {
            return 0;
        }
        return Math.clamp(Math.log(tookMillis / nominalMillis), -MAX_LOG, MAX_LOG);
    }

    /**
     * Returns the remaining weight of an observation.
     *
     * @param ageNanos age of the observation; a negative age counts as 0
     * @return weight from 0 to 1
     */
    public static double weight(long ageNanos) {
        return Math.pow(0.5, Math.max(0, ageNanos) / (double) HALF_LIFE.toNanos());
    }
}
