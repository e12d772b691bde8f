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
    /** Weight of an observation once many were made: some 15 of them are remembered. Chosen. */
    private static final double SMOOTHING = 0.07;

    /** The most that one observation counts as, either way: an outlier is as much as a double. */
    private static final double MAX_STEP = Math.log(2);

    private double mLog;
    private int mObservations;

    LogMean(double prior) {
        mLog = Math.log(prior);
    }

    boolean isObserved() {
        return mObservations > 0;
    }

    double value() {
        return Math.exp(mLog);
    }

    /** Takes a figure into the mean; the first replaces the prior. */
    void observe(double figure) {
        mObservations++;
        double step = Math.log(figure) - mLog;
        if (mObservations == 1) {
            mLog += step;
            return;
        }
        double weight = Math.max(SMOOTHING, 1.0 / mObservations);
        mLog += weight * Math.clamp(step, -MAX_STEP, MAX_STEP);
    }
}
