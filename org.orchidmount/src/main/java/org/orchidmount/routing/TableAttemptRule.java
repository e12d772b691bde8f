/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import io.undertow.util.StatusCodes;
import org.orchidmount.errors.Failure;

/**
 * Decides whether a request to the upstreams of the table is tried again. Pure.
 *
 * <p>{@link AttemptRule} does the same for upstreams that register themselves. There, the route
 * limits how often a request may run. Here, a completion may always run again, because token
 * offsets ensure that each token is delivered once. A plain call may be sent again only if its
 * whole body is buffered or nothing was sent. The caller of this class asks the retry budget last,
 * because asking takes from it.
 */
public final class TableAttemptRule {
    /** Maximum number of consecutive attempts without progress. */
    private static final int MAX_ATTEMPTS = 3;

    private TableAttemptRule() {}

    /**
     * Returns whether attempts are left. An attempt that delivered tokens made progress, so the
     * attempts before it do not count: any message that an engine drops may end an attempt.
     *
     * @param attempts number of attempts from the latest one that delivered tokens on
     * @return false if the request must be given up
     */
    public static boolean hasAttemptsLeft(int attempts) {
        return attempts < MAX_ATTEMPTS;
    }

    /**
     * Returns whether another engine may succeed where one has failed a completion.
     *
     * @param failure why the attempt failed
     * @return false if the request itself is at fault, or if no caller of this instance waits for
     *     it
     */
    public static boolean mayRetryCompletion(Failure failure) {
        return switch (failure) {
            case Failure.Rejected rejected ->
                    rejected.status() >= StatusCodes.INTERNAL_SERVER_ERROR
                            || rejected.status() == StatusCodes.TOO_MANY_REQUESTS
                            || rejected.status() == StatusCodes.NOT_FOUND;
            case Failure.CallerGone _, Failure.Superseded _ -> false;
            default -> true;
        };
    }

    /**
     * Returns whether a retry of a completion takes from the retry budget. An output that was
     * partly delivered is continued without the budget: giving it up would waste all its work, and
     * the number of such retries is bounded by the outputs in progress. After the first few
     * attempts it takes from the budget nevertheless, so that engines that break every stream do
     * not multiply the work of each request.
     *
     * @param attempts number of all attempts so far
     * @param deliveredTokens tokens delivered to the caller
     * @return false if no budget is needed
     */
    public static boolean takesFromBudget(int attempts, int deliveredTokens) {
        return deliveredTokens == 0 || attempts >= MAX_ATTEMPTS;
    }

    /**
     * Returns whether a plain call may be sent again.
     *
     * @param isBodyHeld whether the whole request body is buffered
     * @param failure why the attempt failed
     * @return false if part of the body is no longer available
     */
    public static boolean mayResendPlain(boolean isBodyHeld, Failure failure) {
        return isBodyHeld || !failure.mayHaveRun();
    }
}
