/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

/** Outcome reported to the caller of a request that no upstream has answered. */
public enum FinalOutcome {
    /** The request has not run and will not run; the caller may retry. */
    NOT_RUN,
    /** The request may have run. */
    MAY_HAVE_RUN,
    /** The deadline has passed, and the request may have run. */
    TIMED_OUT,
    /** Upstreams crash when they run the request, so it is no longer run; a retry is useless. */
    QUARANTINED,
    /**
     * The request continues a stream, which no upstream can do; it has not run, and a retry is
     * useless, but the caller may begin the stream again.
     */
    NOT_CONTINUABLE;

    /**
     * Returns the outcome of a request that is given up.
     *
     * @param history the attempts so far
     * @param isOverdue whether the deadline has passed
     * @return the outcome; {@link #NOT_RUN} only if no attempt may have run the request
     */
    public static FinalOutcome of(AttemptRule.History history, boolean isOverdue) {
        if (history.executions() == 0) {
            return NOT_RUN;
        }
        return isOverdue ? TIMED_OUT : MAY_HAVE_RUN;
    }
}
