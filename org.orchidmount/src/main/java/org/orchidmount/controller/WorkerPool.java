/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.controller;

import java.time.Duration;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.orchidmount.internal.log.PartLog;

/**
 * The workers that run the controllers. Thread-safe.
 *
 * <p>Invariant: a controller never runs twice at once; a call to run it while it runs makes it run
 * once more after. Workers must not block on I/O.
 */
public final class WorkerPool implements AutoCloseable {
    private static final PartLog LOG = PartLog.of("worker");

    private final ScheduledThreadPoolExecutor mExecutor;

    /**
     * Starts the workers.
     *
     * @param workers their number
     */
    public WorkerPool(int workers) {
        AtomicInteger counter = new AtomicInteger();
        ThreadFactory factory =
                task -> {
                    Thread thread = new Thread(task, "worker-" + counter.incrementAndGet());
                    thread.setDaemon(true);
                    return thread;
                };
        mExecutor = new ScheduledThreadPoolExecutor(workers, factory);
        mExecutor.setRemoveOnCancelPolicy(true);
    }

    /**
     * Makes a trigger for a controller.
     *
     * @param controller the controller's work
     * @return runs the controller soon; many calls before it runs count as one
     */
    public Runnable trigger(Runnable controller) {
        AtomicBoolean wanted = new AtomicBoolean();
        Object turn = new Object();
        Runnable task =
                () -> {
                    synchronized (turn) {
                        if (wanted.getAndSet(false)) {
                            guarded(controller);
                        }
                    }
                };
        return () -> {
            if (!wanted.getAndSet(true) && !mExecutor.isShutdown()) {
                mExecutor.execute(task);
            }
        };
    }

    /**
     * Runs a task again and again.
     *
     * @param every the time from the end of one run to the start of the next
     * @param task the task
     */
    public void repeat(Duration every, Runnable task) {
        mExecutor.scheduleWithFixedDelay(
                () -> guarded(task), every.toNanos(), every.toNanos(), TimeUnit.NANOSECONDS);
    }

    private static void guarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.error("a controller failed", e);
        }
    }

    @Override
    public void close() {
        mExecutor.shutdownNow();
    }
}
