/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import java.time.Duration;

/**
 * Ejects an upstream that registers itself, for a time that doubles with each failure in a row;
 * used by the relay.
 *
 * <p>An ejected upstream is still taken where no other takes work. Immutable.
 *
 * @param consecutiveFailures the failures since the last success
 * @param isBackingOff false until an ejection begins, and after a success
 * @param untilNanos when the ejection ends
 */
public record FailureBackoff(int consecutiveFailures, boolean isBackingOff, long untilNanos)
        implements OutlierEjection {
    /** The state of an upstream that has not failed. */
    public static final FailureBackoff NONE = new FailureBackoff(0, false, 0);

    /** Failures in a row that eject: a single one may be the caller's. */
    private static final int FAILURES_TO_EJECT = 2;

    /** The first ejection: some requests' time, so that little is lost. */
    private static final Duration FIRST = Duration.ofMillis(150);

    /** The most doublings, so that an upstream is tried every 4.8 s. */
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
     * Counts a connection that could not be made. The upstream is most likely gone, so it is
     * ejected at once, as after a third failure.
     *
     * @param nowNanos the present time
     * @return the state after it
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
