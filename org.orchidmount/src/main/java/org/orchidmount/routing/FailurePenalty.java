/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import java.time.Duration;

/**
 * What recent failures of an upstream add to the time expected of it. Immutable.
 *
 * @param share the smoothed share of calls that failed, at {@code atNanos}
 * @param atNanos the monotonic time of the latest failure
 */
public record FailurePenalty(double share, long atNanos) {
    /** The state of an upstream that has not failed. */
    public static final FailurePenalty NONE = new FailurePenalty(0, 0);

    /** Smoothing factor: how much one call counts. */
    private static final double SMOOTHING = 0.15;

    /** Milliseconds added if all calls fail; a quarter to a half of the sites' targets. */
    private static final double MILLIS_IF_ALL_FAIL = 600;

    /** Without decay an upstream that failed once would not be tried again (commit 8d5349a). */
    private static final Duration HALF_LIFE = Duration.ofSeconds(3);

    FailurePenalty afterFailure(long nowNanos) {
        double decayed = share * ExponentialDecay.weight(nowNanos - atNanos, HALF_LIFE);
        return new FailurePenalty(decayed + SMOOTHING * (1 - decayed), nowNanos);
    }

    FailurePenalty afterSuccess() {
        return new FailurePenalty(share * (1 - SMOOTHING), atNanos);
    }

    double millis(long nowNanos) {
        double decayed = share * ExponentialDecay.weight(nowNanos - atNanos, HALF_LIFE);
        return decayed * MILLIS_IF_ALL_FAIL;
    }
}
