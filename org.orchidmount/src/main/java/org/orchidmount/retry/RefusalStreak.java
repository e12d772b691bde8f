/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.retry;

import java.time.Duration;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.internal.lock.LockRank;
import org.orchidmount.internal.lock.OrderedLock;

/**
 * The runs of one service that its upstreams have refused in a row, as seen by this entry. Decides
 * when a retry of a refused request is useless. Thread-safe.
 */
final class RefusalStreak {
    /**
     * Length of a streak from which retries are useless. With five of six runs refused at random, a
     * streak is that long once in 300 times.
     */
    private static final int MIN_LENGTH = 32;

    /** Duration of a streak from which retries are useless; shorter ones may be one burst. */
    private static final Duration MIN_DURATION = Duration.ofSeconds(1);

    private final OrderedLock mLock = new OrderedLock(LockRank.LIMITS);
    private final MonotonicClock mClock;
    private int mLength;
    private long mStartNanos;

    RefusalStreak(MonotonicClock clock) {
        mClock = clock;
    }

    /** Records that an upstream has refused a run. */
    void refused() {
        try (OrderedLock.Held _ = mLock.hold()) {
            if (mLength == 0) {
                mStartNanos = mClock.nanoTime();
            }
            mLength++;
        }
    }

    /** Records that an upstream has accepted a run. */
    void accepted() {
        try (OrderedLock.Held _ = mLock.hold()) {
            mLength = 0;
        }
    }

    /** Returns how long upstreams have refused all runs; zero while retries may be of use. */
    Duration uselessFor() {
        try (OrderedLock.Held _ = mLock.hold()) {
            Duration duration = Duration.ofNanos(mClock.nanoTime() - mStartNanos);
            boolean isLong = mLength >= MIN_LENGTH && duration.compareTo(MIN_DURATION) >= 0;
            return isLong ? duration : Duration.ZERO;
        }
    }
}
