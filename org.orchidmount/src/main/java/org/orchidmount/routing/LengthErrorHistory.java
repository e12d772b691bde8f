/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import java.util.Arrays;

/**
 * The errors of the expected lengths of the latest outputs. Not thread-safe.
 *
 * <p>Until outputs have been observed, the errors are the evenly spaced quantiles of a log-normal
 * distribution; each observation replaces the oldest error, or adds one.
 */
final class LengthErrorHistory {
    /** Number of outputs remembered. */
    private static final int REMEMBERED = 64;

    /** Standard scores of the evenly spaced quantiles that stand in for observed errors. */
    private static final double[] PRIOR_SCORES = {
        -1.64, -1.04, -0.67, -0.39, -0.13, 0.13, 0.39, 0.67, 1.04, 1.64
    };

    private final double[] mRatios = new double[REMEMBERED];
    private int mCount;
    private int mOldest;

    /**
     * Creates a history without observations.
     *
     * @param priorLogDeviation standard deviation of the logarithm of the prior
     */
    LengthErrorHistory(double priorLogDeviation) {
        for (double score : PRIOR_SCORES) {
            observe(Math.exp(score * priorLogDeviation));
        }
    }

    /**
     * Adds the error of one output.
     *
     * @param ratio its actual length as a multiple of the expected one
     */
    void observe(double ratio) {
        if (mCount < REMEMBERED) {
            mRatios[mCount++] = ratio;
        } else {
            mRatios[mOldest] = ratio;
            mOldest = (mOldest + 1) % REMEMBERED;
        }
    }

    /** Returns the errors that are remembered. */
    LengthErrors errors() {
        return new LengthErrors(Arrays.copyOf(mRatios, mCount));
    }
}
