/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import java.time.Duration;

/**
 * Back-off from an upstream that refuses work. A refusal is not a failure: most often a slot
 * becomes free soon. But an engine that changes its stage refuses for many seconds, and each
 * attempt there costs a request one of its attempts and possibly a prefill. The back-off time
 * therefore doubles with each refusal after the previous back-off. Immutable.
 *
 * @param consecutiveRefusals consecutive refusals since the last success, each after the back-off
 *     of the one before
 * @param isBackingOff whether there was a refusal since the last success
 * @param untilNanos monotonic time at which the back-off ends
 */
public record RefusalBackoff(int consecutiveRefusals, boolean isBackingOff, long untilNanos) {
    /** State of an upstream that has refused nothing. */
    public static final RefusalBackoff NONE = new RefusalBackoff(0, false, 0);

    /** First back-off: the time of a few requests, in which a slot becomes free. */
    private static final Duration FIRST = Duration.ofMillis(60);

    /** Number of consecutive refusals assumed before one that a lack of memory cannot explain. */
    private static final int ASSUMED_REFUSALS = 2;

    /** Maximum number of doublings, so that a refusing upstream is tried every 1.92 s. */
    private static final int MAX_DOUBLINGS = 5;

    /**
     * Records a refusal. Refusals during a back-off do not extend it, so that requests sent at the
     * same time count once.
     *
     * @param nowNanos current monotonic time
     * @return the updated state
     */
    public RefusalBackoff afterRefusal(long nowNanos) {
        if (isRefusing(nowNanos)) {
            return this;
        }
        long backoffNanos = FIRST.toNanos() << Math.min(MAX_DOUBLINGS, consecutiveRefusals);
        return new RefusalBackoff(consecutiveRefusals + 1, true, nowNanos + backoffNanos);
    }

    /**
     * Records a refusal by an upstream that had just reserved memory for the request. A lack of
     * memory cannot be the reason, so the refusal counts as at least the third in a row.
     *
     * @param nowNanos current monotonic time
     * @return the updated state
     */
    public RefusalBackoff afterRefusalDespiteReservation(long nowNanos) {
        boolean isFirst = consecutiveRefusals < ASSUMED_REFUSALS;
        return isFirst
                ? new RefusalBackoff(ASSUMED_REFUSALS, false, untilNanos).afterRefusal(nowNanos)
                : afterRefusal(nowNanos);
    }

    /**
     * Returns whether the upstream has refused again after a back-off, so that the reason must be
     * more than a momentary lack of capacity.
     *
     * @param nowNanos current monotonic time
     * @return true if the upstream must receive no work now
     */
    public boolean isPersistent(long nowNanos) {
        return consecutiveRefusals > 1 && isRefusing(nowNanos);
    }

    /**
     * Returns whether the upstream is in a back-off after a refusal.
     *
     * @param nowNanos current monotonic time
     * @return true if other upstreams are preferable
     */
    public boolean isRefusing(long nowNanos) {
        return isBackingOff && nowNanos - untilNanos < 0;
    }
}
