/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import java.util.Arrays;

/**
 * How far the lengths of outputs were from what was expected of them: ratios of the actual to the
 * expected length, each of the same probability. Immutable.
 */
public final class LengthErrors {
    /** Every output is as long as expected. */
    public static final LengthErrors NONE = new LengthErrors(1);

    private final double[] mRatios;

    /**
     * Creates errors.
     *
     * @param ratios the ratios, at least one
     */
    public LengthErrors(double... ratios) {
        mRatios = ratios.clone();
        Arrays.sort(mRatios);
    }

    /**
     * Returns the probability that an output exceeds a length.
     *
     * @param ratio the length as a multiple of the expected one
     * @return from 0 to 1
     */
    double probabilityBeyond(double ratio) {
        return Arrays.stream(mRatios).filter(each -> each > ratio).count()
                / (double) mRatios.length;
    }
}
