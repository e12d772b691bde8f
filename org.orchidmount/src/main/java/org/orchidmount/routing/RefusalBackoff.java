/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import java.time.Duration;

/**
 * How long an upstream that refuses work is left alone. A refusal is no failure: most often a place
 * is free again soon. But an engine that changes its stage refuses for many seconds, and each try
 * there costs a request an attempt and maybe a prefill. So the time doubles with each refusal that
 * follows the time before. Immutable.
 *
 * @param inARow refusals, each after the time of the one before, since the last success
 * @param isBackingOff false until the first refusal, and after a success
 * @param untilNanos the monotonic time until which the latest refusal counts
 */
public record RefusalBackoff(int inARow, boolean isBackingOff, long untilNanos) {
    /** The state of an upstream that has refused nothing. */
    public static final RefusalBackoff NONE = new RefusalBackoff(0, false, 0);

    /** After one refusal: some requests' time, in which a place becomes free. */
    private static final Duration FIRST = Duration.ofMillis(60);

    /** Refusals in a row that one counts as which a lack of room cannot explain. */
    private static final int REFUSALS_DESPITE_ROOM = 2;

    /** The most doublings, so that an upstream is tried every 1.92 s. */
    private static final int MAX_DOUBLINGS = 5;

    /**
     * Counts a refusal. Those of requests that were sent together count once.
     *
     * @param nowNanos the present time
     * @return the state after it
     */
    public RefusalBackoff afterRefusal(long nowNanos) {
        if (isRefusing(nowNanos)) {
            return this;
        }
        long lengthNanos = FIRST.toNanos() << Math.min(MAX_DOUBLINGS, inARow);
        return new RefusalBackoff(inARow + 1, true, nowNanos + lengthNanos);
    }

    /**
     * Counts a refusal by an upstream that had just reserved memory for the request, so that a lack
     * of room cannot be the reason: it counts as the third in a row.
     *
     * @param nowNanos the present time
     * @return the state after it
     */
    public RefusalBackoff afterRefusalDespiteRoom(long nowNanos) {
        boolean isFirst = inARow < REFUSALS_DESPITE_ROOM;
        return isFirst
                ? new RefusalBackoff(REFUSALS_DESPITE_ROOM, false, untilNanos)
                        .afterRefusal(nowNanos)
                : afterRefusal(nowNanos);
    }

    /**
     * Tells whether the upstream has refused again after it had been left alone, so that more than
     * a lack of room for a moment must be the reason.
     *
     * @param nowNanos the present time
     * @return true if nothing is to be given to it now
     */
    public boolean isPersistent(long nowNanos) {
        return inARow > 1 && isRefusing(nowNanos);
    }

    /**
     * Tells whether a recent refusal counts.
     *
     * @param nowNanos the present time
     * @return true if work is better given to others
     */
    public boolean isRefusing(long nowNanos) {
        return isBackingOff && nowNanos - untilNanos < 0;
    }
}
