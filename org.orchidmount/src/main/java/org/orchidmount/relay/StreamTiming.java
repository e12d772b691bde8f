/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import java.time.Duration;
import org.orchidmount.clock.Millis;
import org.orchidmount.clock.MonotonicClock;

/** Arrival times of the parts of one stream. Confined to one thread. */
final class StreamTiming {

    private final MonotonicClock mClock;
    private final long mArrivedNanos;
    private long mFirstNanos;
    private long mLatestNanos;
    private long mLongestPauseNanos;
    private int mParts;

    /**
     * Creates a timing of a stream that has no parts yet.
     *
     * @param clock the clock
     * @param arrivedNanos the monotonic time at which the request arrived
     */
    StreamTiming(MonotonicClock clock, long arrivedNanos) {
        mClock = clock;
        mArrivedNanos = arrivedNanos;
    }

    /** Records the arrival of a part; returns whether it is the first. */
    boolean recordPart() {
        long nowNanos = mClock.nanoTime();
        boolean first = mParts == 0;
        if (first) {
            mFirstNanos = nowNanos;
        } else {
            mLongestPauseNanos = Math.max(mLongestPauseNanos, nowNanos - mLatestNanos);
        }
        mLatestNanos = nowNanos;
        mParts++;
        return first;
    }

    long firstMillis() {
        return Math.round(Millis.ofNanos(mFirstNanos - mArrivedNanos));
    }

    long longestPauseMillis() {
        return Math.round(Millis.ofNanos(mLongestPauseNanos));
    }

    /** Returns whether more time than this lies between the first and the latest part. */
    boolean isLongerThan(Duration time) {
        return mLatestNanos - mFirstNanos > time.toNanos();
    }

    /** Returns the time between the first and the latest part. */
    double durationMillis() {
        return Millis.ofNanos(mLatestNanos - mFirstNanos);
    }
}
