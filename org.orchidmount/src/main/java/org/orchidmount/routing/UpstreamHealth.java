/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

/**
 * Why an upstream is avoided: what its calls to it have shown, and what that adds to the time
 * expected of it.
 *
 * <p>Inputs are the ends of calls of this instance only; nothing is exchanged with other instances
 * and nothing survives a restart. Immutable; times are monotonic nanoseconds of one clock.
 *
 * @param slowness how much slower than ordinary it answers
 * @param failures what failures add
 * @param backoff whether it is ejected
 * @param refusals whether it refuses work
 */
public record UpstreamHealth(
        Slowness slowness,
        FailurePenalty failures,
        FailureBackoff backoff,
        RefusalBackoff refusals) {
    /** Of an upstream of which nothing is known. */
    public static final UpstreamHealth UNKNOWN =
            new UpstreamHealth(
                    Slowness.NONE, FailurePenalty.NONE, FailureBackoff.NONE, RefusalBackoff.NONE);

    /** Milliseconds added to an ejected upstream: more than any estimate, so it comes last. */
    public static final double EJECTED_MILLIS = 100_000;

    /** Milliseconds added to one that refuses: about a target, so that others come first. */
    private static final double REFUSING_MILLIS = 1_000;

    /**
     * Counts how long an answer took, whether or not it was of any use.
     *
     * @param ratio the time it took by the time expected of an upstream of ordinary speed
     * @param unobserved the slowness of an upstream of which nothing was observed lately
     * @param nowNanos the present time
     * @return the state after it
     */
    public UpstreamHealth afterAnswer(double ratio, double unobserved, long nowNanos) {
        Slowness next = slowness.afterAnswer(ratio, unobserved, nowNanos);
        return new UpstreamHealth(next, failures, backoff, refusals);
    }

    /**
     * Counts that an upstream did what it was given.
     *
     * @return the state after it
     */
    public UpstreamHealth afterSuccess() {
        return new UpstreamHealth(
                slowness, failures.afterSuccess(), backoff.afterSuccess(), RefusalBackoff.NONE);
    }

    /**
     * Counts a call that failed and may have run.
     *
     * @param nowNanos the present time
     * @return the state after it
     */
    public UpstreamHealth afterFailure(long nowNanos) {
        return failed(backoff.afterFailure(nowNanos), nowNanos);
    }

    /**
     * Counts a connection that could not be made.
     *
     * @param nowNanos the present time
     * @return the state after it
     */
    public UpstreamHealth afterUnreachable(long nowNanos) {
        return failed(backoff.afterUnreachable(nowNanos), nowNanos);
    }

    private UpstreamHealth failed(FailureBackoff next, long nowNanos) {
        FailurePenalty penalty = failures.afterFailure(nowNanos);
        return new UpstreamHealth(slowness, penalty, next, refusals);
    }

    /**
     * Counts a refusal, which is no failure.
     *
     * @param nowNanos the present time
     * @return the state after it
     */
    public UpstreamHealth afterRefusal(long nowNanos) {
        return new UpstreamHealth(slowness, failures, backoff, refusals.afterRefusal(nowNanos));
    }

    /**
     * Counts a refusal of a request for which there was room.
     *
     * @param nowNanos the present time
     * @return the state after it
     */
    public UpstreamHealth afterRefusalDespiteRoom(long nowNanos) {
        return new UpstreamHealth(
                slowness, failures, backoff, refusals.afterRefusalDespiteRoom(nowNanos));
    }

    /**
     * Estimates when work would be done here.
     *
     * @param ordinaryMillis when an upstream of ordinary speed would have done it
     * @param unobserved the slowness of an upstream of which nothing was observed lately
     * @param nowNanos the present time
     * @return milliseconds from now
     */
    public double expectedMillis(double ordinaryMillis, double unobserved, long nowNanos) {
        double factor = slowness.at(nowNanos, unobserved);
        double millis = ordinaryMillis * factor + failures.millis(nowNanos);
        if (refusals.isRefusing(nowNanos)) {
            millis += REFUSING_MILLIS;
        }
        return backoff.isEjected(nowNanos) ? millis + EJECTED_MILLIS : millis;
    }
}
