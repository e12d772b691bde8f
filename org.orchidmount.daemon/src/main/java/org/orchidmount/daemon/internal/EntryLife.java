/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.daemon.internal;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.internal.http.HttpServer;
import org.orchidmount.internal.log.PartLog;
import org.orchidmount.routing.RetryAfter;

/**
 * The life of an instance that serves callers: when it calls itself ready, and its planned stop.
 *
 * <p>Invariant: a planned stop first calls the instance not ready and closes connections after
 * their answers; it goes on serving what can end in time while the balancer takes notice; then it
 * closes idle connections and refuses what still comes, and ends only when nothing is being served
 * or the time is over. Thread-safe.
 */
public final class EntryLife {
    private static final PartLog LOG = PartLog.of("stop");

    /** Pause between two looks at what still runs. */
    private static final Duration POLL = Duration.ofMillis(20);

    /** The part of the time for a stop in which the balancer takes notice. */
    private static final double NOTICE_SHARE = 0.35;

    /** The part of the time for a stop after which requests that still run are cut off. */
    private static final double LIMIT_SHARE = 0.95;

    /** The part of the time for a stop after which no response is waited for. */
    private static final double LAST_SHARE = 0.97;

    private final BooleanSupplier mKnowsTable;
    private final MonotonicClock mClock;
    private final Duration mLongest;

    /** When the stop began; null before. */
    private final AtomicReference<Long> mStopNanos = new AtomicReference<>();

    private volatile boolean mRefusing;

    /**
     * Creates a life.
     *
     * @param knowsTable tells whether there is a table to serve from
     * @param longest the time for a planned stop
     * @param clock the clock
     */
    public EntryLife(BooleanSupplier knowsTable, Duration longest, MonotonicClock clock) {
        mKnowsTable = knowsTable;
        mLongest = longest;
        mClock = clock;
    }

    /**
     * Tells whether the instance takes new connections.
     *
     * @return true if it does
     */
    public boolean isReady() {
        return mStopNanos.get() == null && mKnowsTable.getAsBoolean();
    }

    /**
     * Tells whether new requests are to be refused, because they may not end in time.
     *
     * @return true late in a planned stop
     */
    public boolean isRefusing() {
        return mRefusing;
    }

    /**
     * Returns the time until requests that still run are cut off.
     *
     * @return the time, not positive once it is over; empty unless the instance is stopping
     */
    public Optional<Duration> untilCut() {
        return untilShare(LIMIT_SHARE);
    }

    /**
     * Returns the time after which a refused caller is expected to reach another instance: the
     * balancer has taken notice by then.
     *
     * @return the time, at least {@link RetryAfter#INSTANCE_STOPS}
     */
    public Duration retryAfter() {
        return untilShare(NOTICE_SHARE)
                .filter(time -> time.compareTo(RetryAfter.INSTANCE_STOPS) > 0)
                .orElse(RetryAfter.INSTANCE_STOPS);
    }

    private Optional<Duration> untilShare(double share) {
        Long startNanos = mStopNanos.get();
        return startNanos == null
                ? Optional.empty()
                : Optional.of(
                        Duration.ofNanos(
                                (long) (mLongest.toNanos() * share)
                                        - (mClock.nanoTime() - startNanos)));
    }

    /**
     * Stops in order; returns when nothing is being served any more, or the time is over.
     *
     * @param server the listener to callers
     * @return false if a stop is under way already
     * @throws InterruptedException if the thread is interrupted
     */
    public boolean stop(HttpServer server) throws InterruptedException {
        if (!mStopNanos.compareAndSet(null, mClock.nanoTime())) {
            return false;
        }
        LOG.info("planned stop begins with %d requests", server.active());
        server.drain();
        while (true) {
            if (isOver(NOTICE_SHARE) && !mRefusing) {
                mRefusing = true;
                server.closeIdle();
            }
            boolean idle = mRefusing && server.active() == 0;
            if (idle || isOver(LIMIT_SHARE)) {
                LOG.info("stopped with %d requests", server.active());
                return true;
            }
            Thread.sleep(POLL);
        }
    }

    /**
     * Waits for the callers of requests that were given up to be told so; returns when nothing is
     * being served any more, or the time is over.
     *
     * @param server the listener to callers
     * @throws InterruptedException if the thread is interrupted
     */
    public void awaitLastResponses(HttpServer server) throws InterruptedException {
        while (server.active() > 0 && !isOver(LAST_SHARE)) {
            Thread.sleep(POLL);
        }
    }

    private boolean isOver(double share) {
        return untilShare(share).filter(Duration::isNegative).isPresent();
    }
}
