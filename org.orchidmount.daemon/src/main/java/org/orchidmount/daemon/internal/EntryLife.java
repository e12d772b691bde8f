/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.daemon.internal;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.internal.http.HttpServer;
import org.orchidmount.internal.log.PartLog;

/**
 * The life of an instance that serves callers: when it calls itself ready, and its planned stop.
 *
 * <p>Invariant: a planned stop first calls the instance not ready and closes connections after
 * their answers; it goes on serving while the balancer takes notice; then it closes idle
 * connections and refuses what still comes, and ends only when nothing is being served or the time
 * is over. Thread-safe.
 */
public final class EntryLife {
    private static final PartLog LOG = PartLog.of("stop");

    /** Pause between two looks at what still runs. */
    private static final Duration POLL = Duration.ofMillis(20);

    /** The part of the time for a stop in which the balancer takes notice. */
    private static final double NOTICE_SHARE = 0.35;

    /** The part of the time for a stop after which requests that still run are cut off. */
    private static final double LIMIT_SHARE = 0.95;

    private final BooleanSupplier mKnowsTable;
    private final MonotonicClock mClock;
    private final Duration mLongest;
    private final AtomicBoolean mStopping = new AtomicBoolean();
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
        return !mStopping.get() && mKnowsTable.getAsBoolean();
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
     * Stops in order; returns when nothing is being served any more, or the time is over.
     *
     * @param server the listener to callers
     * @return false if a stop is under way already
     * @throws InterruptedException if the thread is interrupted
     */
    public boolean stop(HttpServer server) throws InterruptedException {
        if (mStopping.getAndSet(true)) {
            return false;
        }
        LOG.info("planned stop begins with %d requests", server.active());
        long startNanos = mClock.nanoTime();
        server.drain();
        long noticeNanos = (long) (mLongest.toNanos() * NOTICE_SHARE);
        long limitNanos = (long) (mLongest.toNanos() * LIMIT_SHARE);
        while (true) {
            long tookNanos = mClock.nanoTime() - startNanos;
            if (tookNanos > noticeNanos && !mRefusing) {
                mRefusing = true;
                server.closeIdle();
            }
            boolean idle = mRefusing && server.active() == 0;
            if (idle || tookNanos > limitNanos) {
                LOG.info("stopped with %d requests", server.active());
                return true;
            }
            Thread.sleep(POLL);
        }
    }
}
