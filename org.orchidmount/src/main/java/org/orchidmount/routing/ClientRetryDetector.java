/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.orchidmount.clock.MonotonicClock;

/**
 * Tells client retries from new requests.
 *
 * <p>Callers state how long they still wait. Those of one route wait about equally long at first,
 * some longer and some less; one that states clearly less than any new request would has been
 * refused before. How much the waits of new requests spread is seen above their median, where no
 * retry is, and is taken to be alike below it in proportion. With waits that spread by 15 in 100, a
 * rule that compares with the longest wait takes nearly all new requests for retries in the end,
 * this one at most 6 in 100 (5,000 requests, ClientRetryDetectorTest). Thread-safe.
 */
public final class ClientRetryDetector {
    /**
     * The share of the shortest wait of new requests below which a request is a retry: the time to
     * come back is at least 3 s of the sites' 14 s.
     */
    private static final double FIRST_TRY_SHARE = 0.93;

    /** Waits of new requests that are remembered of a route. */
    private static final int SAMPLES = 64;

    /** The quantile that stands for the longest waits, a few in a hundred aside. */
    private static final double LONG_QUANTILE = 0.95;

    /**
     * How long a stated wait counts: far longer than a caller waits, so that one caller with a long
     * wait does not make retries of all later ones.
     */
    private static final Duration WINDOW = Duration.ofMinutes(10);

    /** So many retries without a new request among them mean that callers wait less now. */
    private static final int RETRIES_IN_A_ROW = 64;

    /** Bounds the memory; the map is emptied beyond. Far more routes than a table has. */
    private static final int MAX_ROUTES = 10_000;

    private final Map<String, Waits> mWaits = new ConcurrentHashMap<>();
    private final MonotonicClock mClock;

    private record Sample(long waitNanos, long atNanos) {}

    /** The waits of new requests of one route, those that came last at the end. */
    private static final class Waits {
        private final Deque<Sample> mSamples = new ArrayDeque<>();
        private int mRetriesInARow;

        synchronized boolean isRetry(long waitNanos, long nowNanos) {
            forgetOld(nowNanos);
            boolean isRetry = waitNanos < FIRST_TRY_SHARE * shortestNanos();
            mRetriesInARow = isRetry ? mRetriesInARow + 1 : 0;
            if (mRetriesInARow > RETRIES_IN_A_ROW) {
                mSamples.clear();
                mRetriesInARow = 0;
                isRetry = false;
            }
            if (!isRetry) {
                mSamples.addLast(new Sample(waitNanos, nowNanos));
            }
            return isRetry;
        }

        private void forgetOld(long nowNanos) {
            while (!mSamples.isEmpty() && isOld(mSamples.getFirst(), nowNanos)) {
                mSamples.removeFirst();
            }
        }

        private boolean isOld(Sample sample, long nowNanos) {
            return mSamples.size() >= SAMPLES || nowNanos - sample.atNanos() >= WINDOW.toNanos();
        }

        /** Returns the wait below which new requests are rare; 0 before any was seen. */
        private double shortestNanos() {
            if (mSamples.isEmpty()) {
                return 0;
            }
            long[] sorted = mSamples.stream().mapToLong(Sample::waitNanos).sorted().toArray();
            double median = sorted[sorted.length / 2];
            double longest = sorted[(int) (LONG_QUANTILE * sorted.length)];
            return median * median / longest;
        }
    }

    /**
     * Creates a detector that knows no request.
     *
     * @param clock the clock
     */
    public ClientRetryDetector(MonotonicClock clock) {
        mClock = clock;
    }

    /**
     * Takes a request into account.
     *
     * @param route its route's name
     * @param wait how long its caller still waits
     * @return true if it is a retry
     */
    public boolean isRetry(String route, Duration wait) {
        if (mWaits.size() > MAX_ROUTES) {
            mWaits.clear();
        }
        return mWaits.computeIfAbsent(route, name -> new Waits())
                .isRetry(wait.toNanos(), mClock.nanoTime());
    }
}
