/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import java.time.Duration;

/**
 * Why a request waits for memory at a decode engine, and for how long before it is refused. Pure.
 *
 * <p>A new request is refused early enough that its caller's retry is still in time. A client retry
 * is not refused again while there is hope: being refused twice costs the caller its answer.
 */
public final class MemoryWaitRule {
    /**
     * Percent of the target that a client retry waits. It is late already, so that a wait costs its
     * caller little and a second refusal all: callers give up at four times the target.
     */
    private static final int CLIENT_RETRY_PERCENT = 200;

    /** Share of the target that a request of mean size waits. */
    private static final double MEAN_SHARE = 0.17;

    /** Bounds of the share, however small or large the request. */
    private static final double MIN_SHARE = 0.1;

    /** The largest share of the target. */
    private static final double MAX_SHARE = 0.6;

    private MemoryWaitRule() {}

    /**
     * Returns how long a client retry waits.
     *
     * @param target the time to the first token that is of full use
     * @return the longest wait
     */
    public static Duration forClientRetry(Duration target) {
        return target.multipliedBy(CLIENT_RETRY_PERCENT).dividedBy(100);
    }

    /**
     * Returns how long a new request waits. A small one finds room among others sooner than a large
     * one, so a large one is given more time (rounds 1b99dcb2 and d93b6265 in docs/ROUNDS.md).
     *
     * @param relativeSize the memory it needs by the mean of all requests
     * @param target the time to the first token that is of full use
     * @return the longest wait
     */
    public static Duration forNewRequest(double relativeSize, Duration target) {
        double share = Math.clamp(MEAN_SHARE * relativeSize * relativeSize, MIN_SHARE, MAX_SHARE);
        return Duration.ofNanos((long) (share * target.toNanos()));
    }
}
