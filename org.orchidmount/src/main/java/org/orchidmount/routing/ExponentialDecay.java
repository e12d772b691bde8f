/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import java.time.Duration;

/** The weight of what was seen some time ago. Stateless. */
final class ExponentialDecay {
    private ExponentialDecay() {}

    /**
     * Returns the weight that is left of an observation.
     *
     * @param ageNanos its age; below 0 counts as 0
     * @param halfLife the age at which half is left
     * @return from 0 to 1
     */
    static double weight(long ageNanos, Duration halfLife) {
        return Math.pow(0.5, Math.max(0, ageNanos) / (double) halfLife.toNanos());
    }
}
