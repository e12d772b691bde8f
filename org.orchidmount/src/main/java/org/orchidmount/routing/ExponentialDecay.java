/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import java.time.Duration;

/** Exponential decay of the weight of past observations. Stateless. */
final class ExponentialDecay {
    private ExponentialDecay() {}

    /**
     * Returns the remaining weight of an observation.
     *
     * @param ageNanos age of the observation; a negative age counts as 0
     * @param halfLife age at which the weight is one half
     * @return weight from 0 to 1
     */
    static double weight(long ageNanos, Duration halfLife) {
        return Math.pow(0.5, Math.max(0, ageNanos) / (double) halfLife.toNanos());
    }
}
