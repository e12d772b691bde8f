/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.quota;

import java.time.Duration;

/**
 * Limit on the use of a key, summed over all instances. Immutable.
 *
 * @param ratePerSecond units per second, above 0
 * @param burst units that may be used at once beyond the rate, above 0
 * @param tolerance units by which the use in a window may exceed rate and burst, at least 0;
 *     available to instances that do not know of each other's grants
 * @param window period over which use is counted, above 0
 */
public record QuotaLimit(double ratePerSecond, double burst, double tolerance, Duration window) {
    /**
     * Creates a limit.
     *
     * @throws IllegalArgumentException if a value is out of range or not finite
     */
    public QuotaLimit {
        require("ratePerSecond", ratePerSecond, ratePerSecond > 0);
        require("burst", burst, burst > 0);
        require("tolerance", tolerance, tolerance >= 0);
        if (!window.isPositive()) {
            throw new IllegalArgumentException("window must be above 0, got " + window);
        }
    }

    private static void require(String name, double value, boolean isInRange) {
        if (!Double.isFinite(value) || !isInRange) {
            throw new IllegalArgumentException(name + " is out of range: " + value);
        }
    }
}
