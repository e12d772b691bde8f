/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import org.orchidmount.clock.Millis;
import org.orchidmount.clock.MonotonicClock;

/** When the parts of one stream were received. Used by one thread. */
final class StreamTiming {

    private final MonotonicClock mClock;
    private final long mArrivedNanos;
    private long mFirstNanos;
    private long mNewestNanos;
    private long mLongestPauseNanos;
    private int mParts;

    /**
     * Starts to measure.
     *
     * @param clock the clock
     * @param arrivedNanos when the request arrived
     */
    StreamTiming(MonotonicClock clock, long arrivedNanos) {
        mClock = clock;
        mArrivedNanos = arrivedNanos;
    }

    /** Notes a part; returns true if it is the first. */
    boolean part() {
        long nowNanos = mClock.nanoTime();
        boolean first = mParts == 0;
        if (first) {
            mFirstNanos = nowNanos;
        } else {
            mLongestPauseNanos = Math.max(mLongestPauseNanos, nowNanos - mNewestNanos);
        }
        mNewestNanos = nowNanos;
        mParts++;
        return first;
    }

    long firstMillis() {
        return Math.round(Millis.ofNanos(mFirstNanos - mArrivedNanos));
    }

    long longestPauseMillis() {
        return Math.round(Millis.ofNanos(mLongestPauseNanos));
    }

    /** Returns the time between the first part and the newest. */
    double durationMillis() {
        return Millis.ofNanos(mNewestNanos - mFirstNanos);
    }
}
