/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.quota;

/**
 * Since when there was no more than one other lease, as far as one voter can know.
 *
 * <p>Leases are numbered, with gaps where an election failed. A voter that has just started, or
 * that sees a number which does not follow the one it knew, may have missed some. Not thread-safe;
 * time is passed in.
 */
public final class LeaseHistory {
    /** Long enough ago for every rule that asks; an age that cannot overflow. */
    private static final long LONG_AGO_NANOS = Long.MAX_VALUE / 4;

    private long mLease;

    /** When the present lease was seen first. */
    private long mBeganNanos;

    /** When the lease before it was seen first, or at the latest began. */
    private long mFormerNanos;

    /**
     * Begins with the newest lease that is known.
     *
     * @param lease its number
     * @param isFirstStart whether the whole site starts for the first time, so that none was missed
     * @param nowNanos the monotonic time
     */
    public LeaseHistory(long lease, boolean isFirstStart, long nowNanos) {
        mLease = lease;
        mBeganNanos = isFirstStart ? nowNanos - LONG_AGO_NANOS : nowNanos;
        mFormerNanos = mBeganNanos;
    }

    /**
     * Notes the lease that is known now.
     *
     * @param lease its number
     * @param nowNanos the monotonic time
     */
    public void see(long lease, long nowNanos) {
        if (lease == mLease) {
            return;
        }
        boolean hasMissedNone = lease == mLease + 1;
        mFormerNanos = hasMissedNone ? mBeganNanos : nowNanos;
        mBeganNanos = nowNanos;
        mLease = lease;
    }

    /**
     * Returns since when there was no more than one lease besides the present one.
     *
     * @return a monotonic time
     */
    public long formerNanos() {
        return mFormerNanos;
    }
}
