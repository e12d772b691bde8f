/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.controller;

import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.orchidmount.blackboard.Blackboard;
import org.orchidmount.errors.Attempt;
import org.orchidmount.internal.http.Peer;
import org.orchidmount.internal.log.PartLog;
import org.orchidmount.upstream.EngineClient;
import org.orchidmount.upstream.EngineReport;

/**
 * Reads the load reports and cache events of the engines and writes them on the board.
 *
 * <p>Invariant: at most one read per engine is under way. Thread-safe.
 */
public final class ReportController implements AutoCloseable {
    private static final PartLog LOG = PartLog.of("report");

    private final Blackboard mBoard;
    private final EngineClient mEngines;
    private final Runnable mWake;
    private final Set<Peer> mUnderWay = ConcurrentHashMap.newKeySet();
    private final ExecutorService mThreads = Executors.newVirtualThreadPerTaskExecutor();

    /**
     * Creates the controller and starts its timer.
     *
     * @param board the shared state
     * @param engines reads the reports
     * @param every the time between reports of one engine
     * @param wake called after each report, because room may have appeared
     * @param workers run the timer
     */
    public ReportController(
            Blackboard board,
            EngineClient engines,
            Duration every,
            Runnable wake,
            WorkerPool workers) {
        mBoard = board;
        mEngines = engines;
        mWake = wake;
        workers.repeat(every, this::poll);
    }

    private void poll() {
        for (Blackboard.Polled polled : mBoard.engines()) {
            if (mUnderWay.add(polled.engine())) {
                mThreads.execute(() -> read(polled));
            }
        }
    }

    private void read(Blackboard.Polled polled) {
        String engine = polled.engine().name();
        try {
            switch (mEngines.report(polled.engine(), polled.eventsAfter())) {
                case Attempt.Done<EngineReport>(EngineReport report) -> {
                    mBoard.observeReport(engine, report);
                    mWake.run();
                }
                case Attempt.Failed<EngineReport>(var failure) -> {
                    LOG.debug("%s", failure.describe());
                    mBoard.failed(engine);
                }
            }
        } finally {
            mUnderWay.remove(polled.engine());
        }
    }

    @Override
    public void close() {
        mThreads.shutdownNow();
    }
}
