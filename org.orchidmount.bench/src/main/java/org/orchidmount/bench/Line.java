/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.bench;

/**
 * A straight line fitted to measured points by least squares. Immutable.
 *
 * @param intercept the value at 0
 * @param slope the growth for each unit
 * @param residual the largest distance of a point from the line, as a fraction of the largest value
 */
record Line(double intercept, double slope, double residual) {
    /** Fits a line. */
    static Line fit(double[] x, double[] y) {
        int n = x.length;
        double meanX = mean(x);
        double meanY = mean(y);
        double covariance = 0;
        double variance = 0;
        for (int i = 0; i < n; i++) {
            covariance += (x[i] - meanX) * (y[i] - meanY);
            variance += (x[i] - meanX) * (x[i] - meanX);
        }
        double slope = covariance / variance;
        double intercept = meanY - slope * meanX;
        double worst = 0;
        double largest = 0;
        for (int i = 0; i < n; i++) {
            worst = Math.max(worst, Math.abs(intercept + slope * x[i] - y[i]));
            largest = Math.max(largest, Math.abs(y[i]));
        }
        return new Line(intercept, slope, largest == 0 ? 0 : worst / largest);
    }

    /** The value of the line. */
    double at(double x) {
        return intercept + slope * x;
    }

    private static double mean(double[] values) {
        double sum = 0;
        for (double value : values) {
            sum += value;
        }
        return sum / values.length;
    }
}
