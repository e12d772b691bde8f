/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LongSummaryStatistics;
import java.util.Map;
import java.util.function.IntSupplier;
import org.orchidmount.clock.MonotonicClock;

/**
 * Records what {@link UrgentReserve} decides by: the requests of each rank that have arrived at
 * this instance within the last 10 s, and how many in a row were held back.
 *
 * <p>Instances do not announce ranks. The load of the site is estimated as this instance's load
 * times the number of instances; with few arrivals the estimate varies, but its mean over all
 * instances is correct. Invariant: arrivals older than the window are removed. Thread-safe.
 */
public final class UrgentArrivals {
    /** Window of arrivals, which is long enough for two or three requests at each instance. */
    private static final Duration WINDOW = Duration.ofSeconds(10);

    private final MonotonicClock mClock;
    private final IntSupplier mInstances;
    private final Map<String, Deque<Arrival>> mByService = new HashMap<>();
    private final Map<Key, Integer> mHeldBackInARow = new HashMap<>();

    private record Arrival(long nanos, int rank, long tokens) {}

    private record Key(String service, int rank) {}

    /**
     * Creates a record without arrivals.
     *
     * @param clock source of the times of arrivals
     * @param instances number of instances that the requests of the site arrive at
     */
    public UrgentArrivals(MonotonicClock clock, IntSupplier instances) {
        mClock = clock;
        mInstances = instances;
    }

    /**
     * Records the arrival of a request.
     *
     * @param service service of the request
     * @param rank its rank of urgency
     * @param tokens memory that it needs in the end
     */
    public synchronized void arrived(String service, int rank, long tokens) {
        Deque<Arrival> arrivals = mByService.computeIfAbsent(service, name -> new ArrayDeque<>());
        removeOld(arrivals);
        arrivals.add(new Arrival(mClock.nanoTime(), rank, tokens));
    }

    private void removeOld(Deque<Arrival> arrivals) {
        long nowNanos = mClock.nanoTime();
        while (!arrivals.isEmpty() && nowNanos - arrivals.getFirst().nanos() > WINDOW.toNanos()) {
            arrivals.removeFirst();
        }
    }

    /**
     * Estimates the load of the requests that are more urgent than a rank.
     *
     * @param service the service
     * @param rank the rank
     * @return what arrives at all instances together
     */
    public synchronized UrgentReserve.Load moreUrgent(String service, int rank) {
        Deque<Arrival> arrivals = mByService.getOrDefault(service, new ArrayDeque<>());
        removeOld(arrivals);
        LongSummaryStatistics tokens =
                arrivals.stream()
                        .filter(arrival -> arrival.rank() < rank)
                        .mapToLong(Arrival::tokens)
                        .summaryStatistics();
        if (tokens.getCount() == 0) {
            return UrgentReserve.Load.NONE;
        }
        double ownPerSecond = (double) tokens.getSum() / WINDOW.toSeconds();
        return new UrgentReserve.Load(
                ownPerSecond * Math.max(1, mInstances.getAsInt()), tokens.getAverage());
    }

    /**
     * Records that a request was placed.
     *
     * @param service service of the request
     * @param rank its rank of urgency
     */
    public synchronized void placed(String service, int rank) {
        mHeldBackInARow.remove(new Key(service, rank));
    }

    /**
     * Records that a request to which the reserve applied was refused.
     *
     * @param service service of the request
     * @param rank its rank of urgency
     */
    public synchronized void heldBack(String service, int rank) {
        mHeldBackInARow.merge(new Key(service, rank), 1, Integer::sum);
    }

    /**
     * Returns how many requests of a rank were held back since one was placed.
     *
     * @param service the service
     * @param rank the rank
     * @return a number, at least 0
     */
    public synchronized int heldBackInARow(String service, int rank) {
        return mHeldBackInARow.getOrDefault(new Key(service, rank), 0);
    }
}
