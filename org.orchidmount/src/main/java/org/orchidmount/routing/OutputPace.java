/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import java.util.OptionalDouble;

/**
 * The mean pace at which outputs are generated, as observed.
 *
 * <p>The mean is that of the logarithms, so that half the pace and twice the pace have the same
 * weight; some 15 observations are remembered. It starts from no prior. Thread-safe.
 */
final class OutputPace {
    /** Weight of an observation after the first few. */
    private static final double SMOOTHING = 0.07;

    private double mLogMean;
    private int mObservations;

    /**
     * Records a part of an output, or all of it.
     *
     * @param tokens number of tokens; not positive if it is to be left out
     * @param tookMillis time in which they were generated; not positive if it is to be left out
     */
    synchronized void observe(double tokens, double tookMillis) {
        if (tokens > 0 && tookMillis > 0) {
            mObservations++;
            double weight = Math.max(SMOOTHING, 1.0 / mObservations);
            mLogMean += weight * (Math.log(tokens / tookMillis) - mLogMean);
        }
    }

    /** Returns the mean in tokens per millisecond; empty before the first observation. */
    synchronized OptionalDouble tokensPerMilli() {
        return mObservations == 0 ? OptionalDouble.empty() : OptionalDouble.of(Math.exp(mLogMean));
    }
}
