/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import java.time.Duration;

/**
 * Why a request is tried again or not, and how long one attempt may stay silent. Pure.
 *
 * <p>A request that must not run twice is tried again only while no attempt may have run it; one
 * that may is tried again until its route's limit of executions. Every attempt after one that
 * reached an upstream takes from the retry budget ({@code limits.RetryBudget}), so that retries
 * cannot multiply a failure; the driver asks the budget last, since asking takes.
 */
public final class AttemptRule {
    /** The most attempts, those included that ran nothing. */
    private static final int MAX_ATTEMPTS = 4;

    /** Times the target that an upstream may stay silent if another may be tried. */
    private static final double SILENCE_FACTOR = 1.3;

    private AttemptRule() {}

    /**
     * What became of the attempts of a request so far. Immutable.
     *
     * @param attempts all attempts
     * @param reached those that reached an upstream
     * @param executions those that may have run the request
     */
    public record History(int attempts, int reached, int executions) {
        /** Before the first attempt. */
        public static final History NONE = new History(0, 0, 0);

        /**
         * Adds an attempt.
         *
         * @param outcome how it ended
         * @return the history with it
         */
        public History after(AttemptOutcome outcome) {
            return new History(
                    attempts + 1,
                    reached + (outcome == AttemptOutcome.NOT_REACHED ? 0 : 1),
                    executions + (outcome == AttemptOutcome.MAY_HAVE_RUN ? 1 : 0));
        }
    }

    /**
     * What a route allows.
     *
     * @param isIdempotent whether a request may run more than once
     * @param maxExecutions how often it may run if so
     */
    public record Limits(boolean isIdempotent, int maxExecutions) {}

    /**
     * Tells whether a request may be tried, the retry budget aside.
     *
     * @param history the attempts so far
     * @param limits what its route allows
     * @param left the time until it must have its final answer
     * @return false if it is to be given up
     */
    public static boolean mayTry(History history, Limits limits, Duration left) {
        boolean mayRun =
                history.executions() == 0
                        || limits.isIdempotent() && history.executions() < limits.maxExecutions();
        return mayRun && history.attempts() < MAX_ATTEMPTS && left.isPositive();
    }

    /**
     * Tells whether the next attempt takes from the retry budget.
     *
     * @param history the attempts so far
     * @return false while no upstream was reached
     */
    public static boolean takesFromBudget(History history) {
        return history.reached() > 0;
    }

    /**
     * Returns how long the next attempt may stay silent before it counts as failed.
     *
     * @param history the attempts so far
     * @param limits what the route allows
     * @param target the time within which an answer is of full use
     * @param left the time until the request must have its final answer
     * @return all that is left, or less if the request may then be tried elsewhere
     */
    public static Duration silenceLimit(
            History history, Limits limits, Duration target, Duration left) {
        boolean another =
                limits.isIdempotent() && history.executions() + 1 < limits.maxExecutions();
        if (!another) {
            return left;
        }
        Duration silence = Duration.ofNanos((long) (SILENCE_FACTOR * target.toNanos()));
        return silence.compareTo(left) < 0 ? silence : left;
    }
}
