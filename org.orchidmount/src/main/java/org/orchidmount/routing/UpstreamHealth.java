/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

/**
 * Health of an upstream as seen in its calls, and the time that it adds to the expected completion
 * time.
 *
 * <p>Based only on completed calls of this instance; nothing is exchanged with other instances and
 * nothing survives a restart. Immutable; times are monotonic nanoseconds of one clock.
 *
 * @param slowness response time relative to nominal speed
 * @param failures penalty for recent failures
 * @param backoff ejection after consecutive failures
 * @param refusals back-off after refusals
 */
public record UpstreamHealth(
        Slowness slowness,
        FailurePenalty failures,
        FailureBackoff backoff,
        RefusalBackoff refusals) {
    /** State of an upstream without calls. */
    public static final UpstreamHealth UNKNOWN =
            new UpstreamHealth(
                    Slowness.NONE, FailurePenalty.NONE, FailureBackoff.NONE, RefusalBackoff.NONE);

    /**
     * Milliseconds added for an ejected upstream: more than any estimate, so that it is chosen
     * last.
     */
    public static final double EJECTED_MILLIS = 100_000;

    /**
     * Milliseconds added for an upstream that refuses work: about a latency target, so that others
     * are chosen first.
     */
    private static final double REFUSING_MILLIS = 1_000;

    /**
     * Records the response time of an answer, whether or not the answer was usable.
     *
     * @param ratio actual response time divided by the time expected at nominal speed
     * @param unobserved slowness of an upstream without recent observations
     * @param nowNanos current monotonic time
     * @return the updated state
     */
    public UpstreamHealth afterResponse(double ratio, double unobserved, long nowNanos) {
        Slowness next = slowness.afterResponse(ratio, unobserved, nowNanos);
        return new UpstreamHealth(next, failures, backoff, refusals);
    }

    /**
     * Records a successful call.
     *
     * @return the updated state
     */
    public UpstreamHealth afterSuccess() {
        return new UpstreamHealth(
                slowness, failures.afterSuccess(), backoff.afterSuccess(), RefusalBackoff.NONE);
    }

    /**
     * Withdraws all failures, because they were not the upstream's.
     *
     * @return the updated state
     */
    public UpstreamHealth withoutFailures() {
        return new UpstreamHealth(slowness, FailurePenalty.NONE, FailureBackoff.NONE, refusals);
    }

    /**
     * Records a failed call that the upstream may have run.
     *
     * @param nowNanos current monotonic time
     * @return the updated state
     */
    public UpstreamHealth afterFailure(long nowNanos) {
        return failed(backoff.afterFailure(nowNanos), nowNanos);
    }

    /**
     * Records a failed connection attempt.
     *
     * @param nowNanos current monotonic time
     * @return the updated state
     */
    public UpstreamHealth afterUnreachable(long nowNanos) {
        return failed(backoff.afterUnreachable(nowNanos), nowNanos);
    }

    private UpstreamHealth failed(FailureBackoff next, long nowNanos) {
        FailurePenalty penalty = failures.afterFailure(nowNanos);
        return new UpstreamHealth(slowness, penalty, next, refusals);
    }

    /**
     * Records a refusal, which is not a failure.
     *
     * @param nowNanos current monotonic time
     * @return the updated state
     */
    public UpstreamHealth afterRefusal(long nowNanos) {
        return new UpstreamHealth(slowness, failures, backoff, refusals.afterRefusal(nowNanos));
    }

    /**
     * Records a refusal of a request for which memory was reserved.
     *
     * @param nowNanos current monotonic time
     * @return the updated state
     */
    public UpstreamHealth afterRefusalDespiteReservation(long nowNanos) {
        return new UpstreamHealth(
                slowness, failures, backoff, refusals.afterRefusalDespiteReservation(nowNanos));
    }

    /**
     * Estimates when the upstream completes a piece of work.
     *
     * @param nominalMillis completion time at nominal speed
     * @param unobserved slowness of an upstream without recent observations
     * @param nowNanos current monotonic time
     * @return milliseconds from now
     */
    public double expectedMillis(double nominalMillis, double unobserved, long nowNanos) {
        double factor = slowness.at(nowNanos, unobserved);
        double millis = nominalMillis * factor + failures.millis(nowNanos);
        if (refusals.isRefusing(nowNanos)) {
            millis += REFUSING_MILLIS;
        }
        return backoff.isEjected(nowNanos) ? millis + EJECTED_MILLIS : millis;
    }
}
