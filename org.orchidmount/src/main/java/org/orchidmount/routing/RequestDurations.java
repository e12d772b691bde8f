/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalDouble;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/**
 * How long the latest requests of each kind took that are not sent to engines.
 *
 * <p>Invariant: at most {@link #REMEMBERED} durations of each kind are held. Thread-safe.
 */
public final class RequestDurations {
    /** Number of requests of one kind that are remembered. */
    private static final int REMEMBERED = 64;

    /** Number of requests of one kind below which nothing is concluded. */
    static final int MIN_OBSERVED = 4;

    private final ConcurrentMap<Kind, Durations> mDurations = new ConcurrentHashMap<>();

    /**
     * Requests that take similar times.
     *
     * @param service the service that runs them
     * @param route the route by which they come
     */
    public record Kind(String service, String route) {
        /** Written out, because the compiler's would be linked when the first request ends. */
        @Override
        public boolean equals(Object other) {
            return other instanceof Kind kind
                    && service.equals(kind.service)
                    && route.equals(kind.route);
        }

        @Override
        public int hashCode() {
            return 31 * service.hashCode() + route.hashCode();
        }
    }

    /**
     * Records a request that has ended.
     *
     * @param kind its kind
     * @param took the time from its being sent to the end of its response
     */
    public void observe(Kind kind, Duration took) {
        mDurations.computeIfAbsent(kind, each -> new Durations()).add(took);
    }

    /**
     * Returns the probability that a request takes longer.
     *
     * @param kind its kind
     * @param time longer than this
     * @return from 0 to 1; empty if fewer than {@link #MIN_OBSERVED} have been observed
     */
    public OptionalDouble probabilityBeyond(Kind kind, Duration time) {
        Durations durations = mDurations.get(kind);
        return durations == null ? OptionalDouble.empty() : durations.probabilityBeyond(time);
    }

    private static final class Durations {
        private final Deque<Duration> mLatest = new ArrayDeque<>();

        synchronized void add(Duration took) {
            if (mLatest.size() == REMEMBERED) {
                mLatest.removeFirst();
            }
            mLatest.addLast(took);
        }

        synchronized OptionalDouble probabilityBeyond(Duration time) {
            if (mLatest.size() < MIN_OBSERVED) {
                return OptionalDouble.empty();
            }
            long longer = mLatest.stream().filter(took -> took.compareTo(time) > 0).count();
            return OptionalDouble.of(longer / (double) mLatest.size());
        }
    }
}
