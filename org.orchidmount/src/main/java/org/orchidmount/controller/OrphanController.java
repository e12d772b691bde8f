/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.controller;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.orchidmount.blackboard.Blackboard;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.errors.Attempt;
import org.orchidmount.internal.http.Peer;
import org.orchidmount.internal.log.PartLog;
import org.orchidmount.upstream.EngineClient;
import org.orchidmount.upstream.RunningRequest;

/**
 * Cancels requests that an earlier run of this instance has left on the engines.
 *
 * <p>Such a request is cancelled once it has been seen without a reader for the grace, which gives
 * its caller time to take it up through another instance; that makes it the other instance's. Only
 * one thread runs a sweep.
 */
public final class OrphanController implements AutoCloseable {
    private static final PartLog LOG = PartLog.of("orphan");

    private final Blackboard mBoard;
    private final EngineClient mEngines;
    private final MonotonicClock mClock;
    private final String mInstance;
    private final String mIncarnation;
    private final long mGraceNanos;
    private final Map<String, Long> mSeenNanos = new HashMap<>();
    private final ExecutorService mThread =
            Executors.newSingleThreadExecutor(Thread.ofVirtual().factory());

    /**
     * Creates the controller and starts its timer.
     *
     * @param board the shared state
     * @param engines lists and cancels requests
     * @param clock measures the grace
     * @param instance the name of this instance
     * @param incarnation this run of the instance
     * @param grace how long an orphan may stay
     * @param workers run the timer
     */
    public OrphanController(
            Blackboard board,
            EngineClient engines,
            MonotonicClock clock,
            String instance,
            String incarnation,
            Duration grace,
            WorkerPool workers) {
        mBoard = board;
        mEngines = engines;
        mClock = clock;
        mInstance = instance;
        mIncarnation = incarnation;
        mGraceNanos = grace.toNanos();
        Runnable sweep = workers.trigger(() -> mThread.execute(this::sweep));
        workers.repeat(Duration.ofSeconds(1), sweep);
    }

    private void sweep() {
        Set<String> present = new HashSet<>();
        for (Blackboard.Polled polled : mBoard.engines()) {
            if (mEngines.running(polled.engine())
                    instanceof Attempt.Done<List<RunningRequest>>(var running)) {
                running.stream()
                        .filter(this::isOrphan)
                        .forEach(request -> consider(polled.engine(), request, present));
            }
        }
        mSeenNanos.keySet().retainAll(present);
    }

    private boolean isOrphan(RunningRequest request) {
        return request.instance().equals(mInstance)
                && !request.incarnation().equals(mIncarnation)
                && !request.attached();
    }

    private void consider(Peer engine, RunningRequest request, Set<String> present) {
        present.add(request.id());
        long nowNanos = mClock.nanoTime();
        long seenNanos = mSeenNanos.computeIfAbsent(request.id(), id -> nowNanos);
        if (nowNanos - seenNanos >= mGraceNanos) {
            LOG.info("cancel %s, left on %s by an earlier run", request.id(), engine.name());
            mEngines.cancel(engine, request.id());
        }
    }

    @Override
    public void close() {
        mThread.shutdownNow();
    }
}
