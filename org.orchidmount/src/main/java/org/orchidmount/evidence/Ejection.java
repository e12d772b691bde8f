/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.evidence;

/**
 * The ejection of one incarnation of an upstream, as decided by {@link EjectionRule}. Immutable;
 * times are monotonic nanoseconds of one clock.
 *
 * @param count number of ejections without an intervening success; 0 if it is in service
 * @param sinceNanos when the latest ejection began
 * @param untilNanos when the latest ejection ends; from then on the upstream is probed
 */
public record Ejection(int count, long sinceNanos, long untilNanos) {
    /** State of an upstream in service. */
    public static final Ejection NONE = new Ejection(0, 0, 0);

    /**
     * Returns whether the upstream is ejected or, after the end of the ejection, not yet known to
     * have recovered.
     *
     * @return false if it is in service
     */
    public boolean isInForce() {
        return count > 0;
    }

    /**
     * Returns whether the ejection has ended, so that the upstream may be probed.
     *
     * @param nowNanos current monotonic time
     * @return true if it is waiting for the result of a probe
     */
    public boolean isHalfOpen(long nowNanos) {
        return isInForce() && nowNanos - untilNanos >= 0;
    }
}
