/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import io.undertow.util.StatusCodes;
import org.orchidmount.errors.Failure;

/**
 * Why a request to the table's upstreams is tried again or not. Pure.
 *
 * <p>It stands beside {@link AttemptRule}, which serves upstreams that register themselves. There a
 * route says how often a request may run; here a completion may always run again, since each token
 * is delivered once by its offset, and a plain call only while its body is held or nothing was
 * sent. The retry budget is asked last, since asking takes from it.
 */
public final class TableAttemptRule {
    /** The most attempts in a row that bring a request no further. */
    private static final int MAX_ATTEMPTS = 3;

    private TableAttemptRule() {}

    /**
     * Tells whether attempts are left. An attempt that has delivered tokens was not in vain, so
     * those before it do not count: each message that an engine leaves out may end one.
     *
     * @param attempts those made so far, from the latest that delivered tokens on
     * @return false if the request is to be given up
     */
    public static boolean hasAttemptsLeft(int attempts) {
        return attempts < MAX_ATTEMPTS;
    }

    /**
     * Tells whether another engine may do better than the one that failed a completion.
     *
     * @param failure why it failed
     * @return false if the request itself is at fault, or nobody waits for it here
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
     * Tells whether a retry of a completion takes from the retry budget. An output that its caller
     * has in part goes on without: giving it up would waste all its work, and there are no more of
     * those than were in progress. Beyond the first few attempts it takes all the same, so that
     * engines that break every stream do not multiply the work of each request.
     *
     * @param attempts all those made so far
     * @param deliveredTokens the tokens that the caller has
     * @return false if the budget is not asked
     */
    public static boolean takesFromBudget(int attempts, int deliveredTokens) {
        return deliveredTokens == 0 || attempts >= MAX_ATTEMPTS;
    }

    /**
     * Tells whether a plain call may be sent again.
     *
     * @param isBodyHeld whether its whole body is held here
     * @param failure why the attempt failed
     * @return false if a part of the body is gone
     */
    public static boolean mayResendPlain(boolean isBodyHeld, Failure failure) {
        return isBodyHeld || !failure.mayHaveRun();
    }
}
