/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

/**
 * A running mean of positive figures by their logarithm, so that half and double weigh alike. Not
 * thread-safe.
 */
final class LogMean {
    /** Weight of an observation once many were made: some 15 of them are remembered. */
    private static final double SMOOTHING = 0.07;

    /** Observations among which even a large step is believed, since the prior may be far off. */
    private static final int EARLY_OBSERVATIONS = 5;

    /** The most that an early observation counts as, either way: four times or a quarter. */
    private static final double MAX_EARLY_STEP = Math.log(4);

    /** The most that a later one counts as: an outlier is as much as a double. */
    private static final double MAX_STEP = Math.log(2);

    private final double mRiseWeight;
    private double mLog;
    private int mObservations;

    /**
     * Creates a mean.
     *
     * @param prior counts as one observation
     * @param riseWeight how much a figure above the mean weighs against one below it, once the
     *     first few have been seen
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

    void observe(double figure) {
        mObservations++;
        boolean isEarly = mObservations <= EARLY_OBSERVATIONS;
        double maxStep = isEarly ? MAX_EARLY_STEP : MAX_STEP;
        double step = Math.clamp(Math.log(figure) - mLog, -maxStep, maxStep);
        double weight = Math.max(SMOOTHING, 1.0 / (mObservations + 1));
        boolean countsLess = step > 0 && !isEarly;
        mLog += (countsLess ? mRiseWeight : 1) * weight * step;
    }
}
