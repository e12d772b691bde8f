/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import java.time.Duration;

/**
 * Decides how long a request waits for memory on a decode engine before it is refused. Pure.
 *
 * <p>A new request is refused early enough for the caller's retry to be on time. A client retry
 * waits as long as it can still be served, because callers give up after a second refusal.
 */
public final class MemoryWaitRule {
    /**
     * Percent of the latency target that a client retry waits. The retry is already late, so
     * waiting costs its caller little, while a second refusal costs the answer: callers give up at
     * four times the target.
     */
    private static final int CLIENT_RETRY_PERCENT = 200;

    /**
     * Multiple of the expected time from the placement to the first token that a request leaves for
     * it. With the expected time itself, half of the requests placed last would be late.
     */
    private static final double FIRST_TOKEN_MARGIN = 1.25;

    /** Fraction of the latency target that a request of mean size waits. */
    private static final double MEAN_SHARE = 0.17;

    /** Lower bound of the fraction, however small the request. */
    private static final double MIN_SHARE = 0.1;

    /** Upper bound of the fraction, however large the request. */
    private static final double MAX_SHARE = 0.6;

    private MemoryWaitRule() {}

    /**
     * Returns the maximum wait of a client retry.
     *
     * @param target latency target for the first token
     * @return the maximum wait
     */
    public static Duration forClientRetry(Duration target) {
        return target.multipliedBy(CLIENT_RETRY_PERCENT).dividedBy(100);
    }

    /**
     * Returns the maximum wait of a new request. A small request finds room sooner than a large
     * one, so a large one is given more time.
     *
     * @param relativeSize memory that the request needs, relative to the mean of all requests
     * @param target latency target for the first token
     * @return the maximum wait
     */
    public static Duration forNewRequest(double relativeSize, Duration target) {
        double share = Math.clamp(MEAN_SHARE * relativeSize * relativeSize, MIN_SHARE, MAX_SHARE);
        return Duration.ofNanos((long) (share * target.toNanos()));
    }

    /**
     * Returns the time in which a request must find room to be in time, where requests are placed
     * in order. A request that cannot be in time waits as long as a small new one.
     *
     * @param target latency target for the first token
     * @param age time since the request arrived
     * @param firstTokenMillis expected time from the placement to the first token
     * @return the maximum wait
     */
    public static Duration untilLate(Duration target, Duration age, double firstTokenMillis) {
        double leftMillis =
                target.toMillis() - age.toMillis() - FIRST_TOKEN_MARGIN * firstTokenMillis;
        return Duration.ofMillis((long) Math.max(leftMillis, MIN_SHARE * target.toMillis()));
    }
}
