/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.quota;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * By how much the use of a key may exceed its limit in a window, as a site allows it. Immutable.
 *
 * <p>What is allowed is divided once, here: a part is used at all times, a part is for the start of
 * a lease, a part for voters that do not hold it, and {@value #OVERDRAFT_SHARE} is left for the one
 * request by which a bucket may be overdrawn.
 *
 * @param window the span over which use is counted
 * @param share the part of the rate and the burst of a window that may be used beyond them
 * @param slack units beyond that
 */
public record QuotaTolerance(Duration window, double share, double slack) {
    /**
     * The part that is used at all times, spread over the window as more rate: an owner that counts
     * every request needs it for nothing else, and what is refused below it is refused in vain.
     */
    static final double USED_SHARE = 0.25;

    /** The part that a bucket holds at the first change of the lease in a window. */
    static final double FIRST_START_SHARE = 0.3;

    /** The part that it holds at each further change; two of them fit. */
    static final double NEXT_START_SHARE = 0.05;

    /** The part that voters without the lease may grant, all together. */
    static final double RESERVE_SHARE = 0.2;

    /** The part that is left: more than the largest request of the sites known so far. */
    static final double OVERDRAFT_SHARE = 0.15;

    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    /**
     * Makes the limit that is enforced for a rate and a burst.
     *
     * @param ratePerSecond units a second, above 0
     * @param burst units at once beyond the rate, above 0
     * @return the limit
     */
    public QuotaLimit limit(double ratePerSecond, double burst) {
        double windowSeconds = window.toNanos() / NANOS_PER_SECOND;
        double tolerance = share * (ratePerSecond * windowSeconds + burst) + slack;
        double usedPerSecond = USED_SHARE * tolerance / windowSeconds;
        return new QuotaLimit(ratePerSecond + usedPerSecond, burst, tolerance, window);
    }
}
