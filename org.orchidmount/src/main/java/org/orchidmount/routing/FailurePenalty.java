/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import java.time.Duration;

/**
 * Time added to the expected completion time of an upstream because of its recent failures.
 * Immutable.
 *
 * @param share smoothed fraction of failed calls, as of {@code atNanos}
 * @param atNanos monotonic time of the latest failure
 */
public record FailurePenalty(double share, long atNanos) {
    /** The state of an upstream that has not failed. */
    public static final FailurePenalty NONE = new FailurePenalty(0, 0);

    /** Smoothing factor: the weight of one call. */
    private static final double SMOOTHING = 0.15;

    /** Milliseconds added if all calls fail; a quarter to a half of the sites' latency targets. */
    private static final double MILLIS_IF_ALL_FAIL = 600;

    /**
     * Half-life of the failure share. Without decay, an upstream that failed once would not be
     * tried again.
     */
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
