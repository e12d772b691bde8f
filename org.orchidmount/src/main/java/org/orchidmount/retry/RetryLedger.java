/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.retry;

import java.time.Duration;

/**
 * What the owner of a lease knows of the requests for one service and has granted for it.
 *
 * <p>Retries are granted from the credit of requests first, then from the slack. Invariants: under
 * one lease, the retries that are sent in any window, with permits used within their lifetime, stay
 * within the limit for the requests reported; over several leases, those beyond the credit of
 * requests stay within the slack, because a lease grants none of it until the permits of the lease
 * before have left the window. Not thread-safe; callers pass the time in.
 */
final class RetryLedger {
    /**
     * Retries for which expired credit is kept: twice those of one attempt. A lease that follows
     * another one forfeits as many, which may have been granted before it from older requests.
     */
    private static final int REMAINDER = 4;

    private final RetryCredit mCredit;
    private final Duration mGrantWindow;
    private final int mWindowIntervals;
    private final WindowCount mRequests;
    private final WindowCount mGranted;
    private final WindowCount mGrantedFromSlack;
    private final WindowCount mRefused;
    private final long mSlackFromNanos;
    private RetryLimit mLimit;
    private long mAskedNanos;

    /**
     * Creates a ledger without requests.
     *
     * @param limit the limit
     * @param leaseNanos monotonic time since when the lease is held
     * @param isFirstLease whether no other lease was held before
     */
    RetryLedger(RetryLimit limit, long leaseNanos, boolean isFirstLease) {
        mLimit = limit;
        mCredit =
                new RetryCredit(
                        RetryLimit.CREDIT_LIFETIME, REMAINDER, isFirstLease ? 0 : REMAINDER);
        mGrantWindow = limit.window().plus(RetryLimit.PERMIT_LIFETIME);
        mWindowIntervals = WindowCount.intervals(limit.window());
        mRequests = new WindowCount(limit.window().multipliedBy(2));
        mGranted = new WindowCount(mGrantWindow);
        mGrantedFromSlack = new WindowCount(mGrantWindow);
        mRefused = new WindowCount(limit.window());
        mSlackFromNanos = isFirstLease ? leaseNanos : leaseNanos + mGrantWindow.toNanos();
        mAskedNanos = leaseNanos;
    }

    void recordRequests(int requests, long nowNanos) {
        mRequests.add(requests, nowNanos);
        mCredit.add(requests, mLimit.creditPerRequest(), nowNanos);
    }

    /**
     * Grants some retries, or none.
     *
     * @param limit the limit as the asking instance knows it; the stricter one holds
     * @param retries number of retries
     * @param slackShare share of the slack that this owner may grant
     * @param nowNanos monotonic time
     * @return false if the limit is used up
     */
    boolean tryGrant(RetryLimit limit, int retries, double slackShare, long nowNanos) {
        mLimit = mLimit.stricter(limit);
        mAskedNanos = nowNanos;
        int fromCredit = (int) Math.clamp(mCredit.available(nowNanos), 0, retries);
        int fromSlack = retries - fromCredit;
        boolean isWithinSlack =
                fromSlack == 0
                        || mGrantedFromSlack.sum(mGrantWindow, nowNanos) + fromSlack
                                <= slack(slackShare, nowNanos);
        boolean isWithinWindow =
                mGranted.sum(mGrantWindow, nowNanos) + retries
                        <= mLimit.ratio() * requests(nowNanos) + slackShare * mLimit.slack();
        if (!isWithinSlack || !isWithinWindow || !mCredit.tryTake(fromCredit, nowNanos)) {
            mRefused.add(retries, nowNanos);
            return false;
        }
        mGranted.add(retries, nowNanos);
        mGrantedFromSlack.add(fromSlack, nowNanos);
        return true;
    }

    private double slack(double share, long nowNanos) {
        return nowNanos - mSlackFromNanos < 0 ? 0 : share * mLimit.slack();
    }

    /**
     * Returns the requests that count for a window that ends now or later. The limit counts those
     * of the window, of the one before it, or of the one half a window earlier, whichever has most.
     * Where the window ends is not known yet, so the least of all cases is taken.
     */
    private int requests(long nowNanos) {
        int[] newest = mRequests.cumulative(nowNanos);
        int least = Integer.MAX_VALUE;
        for (int shift = 0; shift <= mWindowIntervals / 2; shift++) {
            int earlier = newest[mWindowIntervals + shift] - newest[shift];
            int current = newest[mWindowIntervals / 2 + shift];
            least = Math.min(least, Math.max(earlier, current));
        }
        return least;
    }

    /** Returns the time at which retries were last requested. */
    long askedNanos() {
        return mAskedNanos;
    }

    long windowNanos() {
        return mLimit.window().toNanos();
    }

    /** Returns the use of the limit now. */
    RetryUse use(String service, double slackShare, long nowNanos) {
        double slack = slack(slackShare, nowNanos);
        return new RetryUse(
                service,
                mGranted.sum(mLimit.window(), nowNanos),
                mLimit.ratio() * requests(nowNanos) + slack,
                mRefused.sum(mLimit.window(), nowNanos),
                mLimit);
    }
}
