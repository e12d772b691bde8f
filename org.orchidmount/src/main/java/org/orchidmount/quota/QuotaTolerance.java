/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.quota;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Amount by which the use of a key may exceed its limit in a window, as configured for a site.
 * Immutable.
 *
 * <p>The allowance is divided here and nowhere else: one share is used at all times, one at the
 * start of a lease, one by voters that do not hold the lease, and {@value #OVERDRAFT_SHARE} remains
 * for the one request by which a bucket may be overdrawn.
 *
 * @param window period over which use is counted
 * @param share fraction of a window's rate and burst that may be used beyond them
 * @param slack additional units beyond that
 */
public record QuotaTolerance(Duration window, double share, double slack) {
    /**
     * Share that is used at all times, added to the rate over the window. An owner that counts
     * every request needs this share for nothing else, so refusing requests within it would gain
     * nothing.
     */
    static final double CONSTANT_SHARE = 0.25;

    /** Share that a bucket holds after the first change of the lease in a window. */
    static final double FIRST_LEASE_SHARE = 0.3;

    /** Share that a bucket holds after each further change; the division leaves room for two. */
    static final double LATER_LEASE_SHARE = 0.05;

    /** Share that all voters without the lease together may grant. */
    static final double RESERVE_SHARE = 0.2;

    /** Remaining share, larger than the largest request of the sites known so far. */
    static final double OVERDRAFT_SHARE = 0.15;

    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    /**
     * Creates the limit that is enforced for a rate and a burst.
     *
     * @param ratePerSecond units per second, above 0
     * @param burst units at once beyond the rate, above 0
     * @return limit with the share for constant use added to the rate
     */
    public QuotaLimit limit(double ratePerSecond, double burst) {
        double windowSeconds = window.toNanos() / NANOS_PER_SECOND;
        double tolerance = share * (ratePerSecond * windowSeconds + burst) + slack;
        double extraPerSecond = CONSTANT_SHARE * tolerance / windowSeconds;
        return new QuotaLimit(ratePerSecond + extraPerSecond, burst, tolerance, window);
    }
}
