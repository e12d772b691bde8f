/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.retry;

import java.time.Duration;

/**
 * Counts of events in equal intervals of the recent past. Not thread-safe; callers pass the time
 * in, which must not decrease.
 */
final class WindowCount {
    /** Length of an interval. */
    static final Duration INTERVAL = Duration.ofMillis(50);

    private final int[] mCounts;
    private long mNewest;

    /** Creates a count that reaches back for some time. */
    WindowCount(Duration span) {
        mCounts = new int[intervals(span) + 1];
    }

    /** Returns the number of intervals in which a span ends. */
    static int intervals(Duration span) {
        return Math.toIntExact(Math.ceilDiv(span.toNanos(), INTERVAL.toNanos()));
    }

    void add(int events, long nowNanos) {
        advance(nowNanos);
        mCounts[index(mNewest)] += events;
    }

    /** Returns the events of a span that ends now, and of the interval in which it begins. */
    int sum(Duration span, long nowNanos) {
        advance(nowNanos);
        int sum = 0;
        for (int i = 0; i <= intervals(span) && i < mCounts.length; i++) {
            sum += mCounts[index(mNewest - i)];
        }
        return sum;
    }

    /** Returns, at each index, the events of as many of the newest intervals. */
    int[] cumulative(long nowNanos) {
        advance(nowNanos);
        int[] sums = new int[mCounts.length + 1];
        for (int i = 0; i < mCounts.length; i++) {
            sums[i + 1] = sums[i] + mCounts[index(mNewest - i)];
        }
        return sums;
    }

    private void advance(long nowNanos) {
        long current = Math.floorDiv(nowNanos, INTERVAL.toNanos());
        long stale = Math.min(current - mNewest, mCounts.length);
        for (long i = 0; i < stale; i++) {
            mCounts[index(current - i)] = 0;
        }
        mNewest = Math.max(mNewest, current);
    }

    private int index(long interval) {
        return (int) Math.floorMod(interval, (long) mCounts.length);
    }
}
