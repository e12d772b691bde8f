/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.orchidmount.clock.MonotonicClock;

/**
 * Tells the retry of a caller that was refused from a new request.
 *
 * <p>Callers state how long they still wait, and those of one route all wait equally long at first;
 * one that states clearly less has been refused before. Thread-safe.
 */
public final class ClientRetryDetector {
    /**
     * The share of the longest wait below which a request is a retry. Chosen, not measured: the
     * time to come back is at least 3 s of the sites' 14 s.
     */
    private static final double FIRST_TRY_SHARE = 0.93;

    /**
     * How long a stated wait counts at least, and twice that at most. Chosen: far longer than a
     * caller waits, so that one caller with a long wait does not make retries of all later ones.
     */
    private static final Duration WINDOW = Duration.ofMinutes(10);

    /** Bounds the memory; the map is emptied beyond. Far more routes than a table has. */
    private static final int MAX_ROUTES = 10_000;

    private final Map<String, LongestWait> mLongestWaits = new ConcurrentHashMap<>();
    private final MonotonicClock mClock;

    /** The longest wait of a route in the present window and in the one before. */
    private record LongestWait(Duration present, Duration before, long sinceNanos) {
        LongestWait with(Duration wait, long nowNanos) {
            long ageNanos = nowNanos - sinceNanos;
            if (ageNanos < WINDOW.toNanos()) {
                return new LongestWait(longer(present, wait), before, sinceNanos);
            }
            boolean adjoins = ageNanos < 2 * WINDOW.toNanos();
            return new LongestWait(wait, adjoins ? present : Duration.ZERO, nowNanos);
        }

        Duration longest() {
            return longer(present, before);
        }

        private static Duration longer(Duration a, Duration b) {
            return a.compareTo(b) >= 0 ? a : b;
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
        if (mLongestWaits.size() > MAX_ROUTES) {
            mLongestWaits.clear();
        }
        long nowNanos = mClock.nanoTime();
        LongestWait known =
                mLongestWaits.compute(
                        route,
                        (name, before) ->
                                before == null
                                        ? new LongestWait(wait, Duration.ZERO, nowNanos)
                                        : before.with(wait, nowNanos));
        return wait.toNanos() < FIRST_TRY_SHARE * known.longest().toNanos();
    }
}
