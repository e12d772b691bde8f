/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.retry;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Requests that cover retries for a short time.
 *
 * <p>Invariant: each request covers retries at most once, and only within its lifetime, except for
 * a small remainder. Not thread-safe; callers pass the time in, which must not decrease.
 */
final class RetryCredit {
    /** Requests that arrive within this time expire together, with the first of them. */
    private static final long RESOLUTION_NANOS = Duration.ofMillis(10).toNanos();

    /** Compensates for the rounding of whole requests to and from their credit. */
    private static final double ROUNDING = 1e-6;

    private final long mLifetimeNanos;
    private final Deque<Batch> mOldestFirst = new ArrayDeque<>();

    private final double mMaxRemainder;

    /** Credit from expired requests that is kept; negative for a debt. */
    private double mRemainder;

    /** Requests that arrived at about the same time, and their unused credit. */
    private static final class Batch {
        private final long mFirstNanos;
        private int mRequests;
        private double mCredit;

        Batch(long firstNanos) {
            mFirstNanos = firstNanos;
        }
    }

    /**
     * Creates an empty credit.
     *
     * @param lifetime time for which a request covers retries
     * @param maxRemainder retries up to which expired credit is kept, so that few requests can
     *     cover one as well
     * @param debt retries whose credit is forfeited before any is available
     */
    RetryCredit(Duration lifetime, int maxRemainder, int debt) {
        mLifetimeNanos = lifetime.toNanos();
        mMaxRemainder = maxRemainder;
        mRemainder = -debt;
    }

    /** Adds requests with the credit of each. */
    void add(int requests, double creditPerRequest, long nowNanos) {
        Batch newest = mOldestFirst.peekLast();
        if (newest == null || nowNanos - newest.mFirstNanos >= RESOLUTION_NANOS) {
            expire(nowNanos);
            newest = new Batch(nowNanos);
            mOldestFirst.addLast(newest);
        }
        newest.mRequests += requests;
        newest.mCredit += requests * creditPerRequest;
    }

    private void expire(long nowNanos) {
        while (!mOldestFirst.isEmpty()
                && nowNanos - mOldestFirst.getFirst().mFirstNanos > mLifetimeNanos) {
            double expired = mOldestFirst.removeFirst().mCredit;
            mRemainder = Math.min(mMaxRemainder, mRemainder + expired);
        }
    }

    /** Returns the retries that are covered now. */
    double available(long nowNanos) {
        expire(nowNanos);
        return mRemainder + mOldestFirst.stream().mapToDouble(batch -> batch.mCredit).sum();
    }

    /** Takes credit for some retries, the oldest first; returns false if there is too little. */
    boolean tryTake(int retries, long nowNanos) {
        if (retries == 0) {
            return true;
        }
        if (available(nowNanos) < retries) {
            return false;
        }
        double missing = retries - Math.min(mRemainder, retries);
        mRemainder -= Math.min(mRemainder, retries);
        for (Batch batch : mOldestFirst) {
            double taken = Math.min(batch.mCredit, missing);
            batch.mCredit -= taken;
            missing -= taken;
        }
        return true;
    }

    /**
     * Removes all requests, to be reported.
     *
     * @return the number of those that are younger than an age and have not covered retries here
     */
    int removeRequests(Duration maxAge, double creditPerRequest, long nowNanos) {
        double unused = 0;
        for (Batch batch : mOldestFirst) {
            if (nowNanos - batch.mFirstNanos <= maxAge.toNanos()) {
                unused +=
                        creditPerRequest == 0 ? batch.mRequests : batch.mCredit / creditPerRequest;
            }
        }
        mOldestFirst.clear();
        mRemainder = 0;
        return (int) (unused + ROUNDING);
    }
}
