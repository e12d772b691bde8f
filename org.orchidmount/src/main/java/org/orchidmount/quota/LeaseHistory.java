/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.quota;

/**
 * Tracks since when at most one other lease has existed, as far as one voter can know.
 *
 * <p>Leases are numbered, with gaps where an election failed. A voter that has just started, or
 * that sees a number which is not the successor of the last one, may have missed leases. Not
 * thread-safe; callers pass the time in.
 */
public final class LeaseHistory {
    /** Age that exceeds every window and cannot overflow. */
    private static final long LONG_AGO_NANOS = Long.MAX_VALUE / 4;

    private long mLease;

    /** Monotonic time at which the current lease was first seen. */
    private long mCurrentLeaseNanos;

    /**
     * Monotonic time at which the previous lease was first seen, or the latest time at which it can
     * have begun.
     */
    private long mPreviousLeaseNanos;

    /**
     * Creates a history that begins with the newest known lease.
     *
     * @param lease number of the lease
     * @param isFirstStart whether the whole site starts for the first time, so that no lease was
     *     missed
     * @param nowNanos monotonic time
     */
    public LeaseHistory(long lease, boolean isFirstStart, long nowNanos) {
        mLease = lease;
        mCurrentLeaseNanos = isFirstStart ? nowNanos - LONG_AGO_NANOS : nowNanos;
        mPreviousLeaseNanos = mCurrentLeaseNanos;
    }

    /**
     * Records the lease that is current now.
     *
     * @param lease number of the lease
     * @param nowNanos monotonic time
     */
    public void observe(long lease, long nowNanos) {
        if (lease == mLease) {
            return;
        }
        boolean hasMissedNone = lease == mLease + 1;
        mPreviousLeaseNanos = hasMissedNone ? mCurrentLeaseNanos : nowNanos;
        mCurrentLeaseNanos = nowNanos;
        mLease = lease;
    }

    /**
     * Returns since when at most one lease besides the current one has existed.
     *
     * @return monotonic time, in the distant past if the site started for the first time
     */
    public long previousLeaseNanos() {
        return mPreviousLeaseNanos;
    }
}
