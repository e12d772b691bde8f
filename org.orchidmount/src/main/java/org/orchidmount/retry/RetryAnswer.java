/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.retry;

import java.time.Duration;

/**
 * Answer to a request for retries. Immutable.
 *
 * @param outcome whether the retries may be sent
 * @param retryAfter time for which the entry should not ask again; zero unless the outcome is
 *     {@link Outcome#EXHAUSTED}
 */
public record RetryAnswer(Outcome outcome, Duration retryAfter) {
    /** Whether the requested retries may be sent. */
    public enum Outcome {
        /** All of them may be sent, within {@link RetryLimit#PERMIT_LIFETIME} of the request. */
        GRANTED,
        /** The limit is used up. */
        EXHAUSTED,
        /** The instance that was asked does not own the limit, or no owner answered. */
        NO_OWNER,
        /** The owner is of a build that does not count retries. */
        UNSUPPORTED
    }

    /** All retries may be sent. */
    public static final RetryAnswer GRANTED = new RetryAnswer(Outcome.GRANTED, Duration.ZERO);

    /** No owner answered. */
    public static final RetryAnswer NO_OWNER = new RetryAnswer(Outcome.NO_OWNER, Duration.ZERO);

    /** The owner does not count retries. */
    public static final RetryAnswer UNSUPPORTED =
            new RetryAnswer(Outcome.UNSUPPORTED, Duration.ZERO);

    /**
     * Creates the answer for a limit that is used up.
     *
     * @param retryAfter time for which the entry should not ask again
     * @return the answer
     */
    public static RetryAnswer exhausted(Duration retryAfter) {
        return new RetryAnswer(Outcome.EXHAUSTED, retryAfter);
    }
}
