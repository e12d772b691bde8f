/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import java.time.Duration;

/**
 * Decides whether a request is tried again, and how long one attempt may remain unanswered. Pure.
 *
 * <p>A request that is not idempotent is tried again only while no attempt may have run it. An
 * idempotent request is tried again up to the execution limit of its route. What is charged to the
 * limit on retries, so that they cannot amplify a failure, is decided by {@code
 * retry.ArrivalHistory}.
 */
public final class AttemptRule {
    /** Maximum number of attempts, including those that ran nothing. */
    private static final int MAX_ATTEMPTS = 4;

    /**
     * Time that an upstream may remain silent if another one may be tried, as a multiple of the
     * latency target.
     */
    private static final double TIMEOUT_FACTOR = 1.3;

    private AttemptRule() {}

    /**
     * Counts of the attempts of a request so far. Immutable.
     *
     * @param attempts all attempts
     * @param executions attempts that may have run the request
     */
    public record History(int attempts, int executions) {
        /** History before the first attempt. */
        public static final History NONE = new History(0, 0);

        /**
         * Adds an attempt.
         *
         * @param outcome how the attempt ended
         * @return the updated history
         */
        public History after(AttemptOutcome outcome) {
            return new History(
                    attempts + 1, executions + (outcome == AttemptOutcome.MAY_HAVE_RUN ? 1 : 0));
        }
    }

    /**
     * Retry settings of a route.
     *
     * @param isIdempotent whether a request may run more than once
     * @param maxExecutions maximum number of executions of an idempotent request
     */
    public record Limits(boolean isIdempotent, int maxExecutions) {}

    /**
     * Returns whether a request may be tried, apart from the retry budget.
     *
     * @param history the attempts so far
     * @param limits retry settings of the route
     * @param remaining time until the deadline of the request
     * @return false if the request must be given up
     */
    public static boolean mayTry(History history, Limits limits, Duration remaining) {
        boolean mayRun =
                history.executions() == 0
                        || limits.isIdempotent() && history.executions() < limits.maxExecutions();
        return mayRun && history.attempts() < MAX_ATTEMPTS && remaining.isPositive();
    }

    /**
     * Returns whether the next attempt may be followed by another one if it may have run the
     * request.
     *
     * @param history the attempts so far
     * @param limits retry settings of the route
     * @return false if it must be waited for
     */
    public static boolean mayRepeat(History history, Limits limits) {
        return limits.isIdempotent() && history.executions() + 1 < limits.maxExecutions();
    }

    /**
     * Returns how long the next attempt may remain unanswered before it counts as failed.
     *
     * @param history the attempts so far
     * @param limits retry settings of the route
     * @param target latency target of the request
     * @param remaining time until the deadline of the request
     * @return {@code remaining}, or less if the request may then be tried elsewhere
     */
    public static Duration responseTimeout(
            History history, Limits limits, Duration target, Duration remaining) {
        if (!mayRepeat(history, limits)) {
            return remaining;
        }
        Duration timeout = Duration.ofNanos((long) (TIMEOUT_FACTOR * target.toNanos()));
        return timeout.compareTo(remaining) < 0 ? timeout : remaining;
    }
}
