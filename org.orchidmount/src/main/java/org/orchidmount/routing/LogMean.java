/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

/**
 * Running mean of the logarithms of positive values, so that half the mean and twice the mean have
 * the same weight. Not thread-safe.
 */
final class LogMean {
    /** Weight of an observation after the first few; some 15 observations are remembered. */
    private static final double SMOOTHING = 0.07;

    /**
     * Number of initial observations that may change the mean by a large step, since the prior may
     * be far off.
     */
    private static final int EARLY_OBSERVATIONS = 5;

    /** Largest step of an early observation: a factor of four up or down. */
    private static final double MAX_EARLY_STEP = Math.log(4);

    /**
     * Largest step of a later observation: an outlier counts as no more than twice or half the
     * mean.
     */
    private static final double MAX_STEP = Math.log(2);

    private final double mRiseWeight;
    private double mLog;
    private int mObservations;

    /**
     * Creates a mean.
     *
     * @param prior initial value, which counts as one observation
     * @param riseWeight weight of a value above the mean relative to one below it, after the first
     *     few observations
     */
    LogMean(double prior, double riseWeight) {
        mLog = Math.log(prior);
        mRiseWeight = riseWeight;
    }

    boolean isObserved() {
        return mObservations > 0;
    }

    double value() {
        return Math.exp(mLog);
    }

    void observe(double observation) {
        mObservations++;
        boolean isEarly = mObservations <= EARLY_OBSERVATIONS;
        double maxStep = isEarly ? MAX_EARLY_STEP : MAX_STEP;
        double step = Math.clamp(Math.log(observation) - mLog, -maxStep, maxStep);
        double weight = Math.max(SMOOTHING, 1.0 / (mObservations + 1));
        boolean countsLess = step > 0 && !isEarly;
        mLog += (countsLess ? mRiseWeight : 1) * weight * step;
    }
}
