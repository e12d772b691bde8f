/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import java.time.Duration;

/**
 * Ejection of an upstream that registers itself, for a time that doubles with each consecutive
 * failure; used by the relay.
 *
 * <p>An ejected upstream is still chosen if no other accepts work. Immutable.
 *
 * @param consecutiveFailures failures since the last success
 * @param isBackingOff whether an ejection has begun since the last success
 * @param untilNanos monotonic time at which the ejection ends
 */
public record FailureBackoff(int consecutiveFailures, boolean isBackingOff, long untilNanos)
        implements OutlierEjection {
    /** The state of an upstream that has not failed. */
    public static final FailureBackoff NONE = new FailureBackoff(0, false, 0);

    /** Consecutive failures that cause an ejection: a single failure may be the caller's fault. */
    private static final int FAILURES_TO_EJECT = 2;

    /**
     * Duration of the first ejection: the time of a few requests, so that little capacity is lost.
     */
    private static final Duration FIRST = Duration.ofMillis(150);

    /** Maximum number of doublings, so that a failing upstream is tried every 4.8 s. */
    private static final int MAX_DOUBLINGS = 5;

    @Override
    public FailureBackoff afterFailure(long nowNanos) {
        int failures = consecutiveFailures + 1;
        if (failures < FAILURES_TO_EJECT) {
            return new FailureBackoff(failures, isBackingOff, untilNanos);
        }
        int doublings = Math.min(MAX_DOUBLINGS, failures - FAILURES_TO_EJECT);
        long endNanos = nowNanos + (FIRST.toNanos() << doublings);
        boolean extended = !isBackingOff || endNanos - untilNanos > 0;
        return new FailureBackoff(failures, true, extended ? endNanos : untilNanos);
    }

    /**
     * Records a failed connection attempt. The upstream is most likely gone, so it is ejected at
     * once, as after a third failure.
     *
     * @param nowNanos current monotonic time
     * @return the updated state
     */
    public FailureBackoff afterUnreachable(long nowNanos) {
        int failures = Math.max(consecutiveFailures, FAILURES_TO_EJECT);
        return new FailureBackoff(failures, isBackingOff, untilNanos).afterFailure(nowNanos);
    }

    @Override
    public FailureBackoff afterSuccess() {
        return new FailureBackoff(0, false, untilNanos);
    }

    @Override
    public boolean isEjected(long nowNanos) {
        return isBackingOff && nowNanos - untilNanos < 0;
    }
}
