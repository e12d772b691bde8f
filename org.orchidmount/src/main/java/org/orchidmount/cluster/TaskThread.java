/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.orchidmount.internal.log.PartLog;

/**
 * Runs the tasks of a node in sequence on a dedicated thread, so that the node's state needs no
 * lock. An exception in a task is logged and ends neither the thread nor periodic tasks.
 * Thread-safe.
 */
final class TaskThread implements AutoCloseable {
    private final PartLog mLog;
    private final ScheduledThreadPoolExecutor mExecutor;

    /**
     * Creates the executor; its thread starts with the first task.
     *
     * @param name the name of the thread
     * @param log the log for exceptions in tasks
     */
    TaskThread(String name, PartLog log) {
        mLog = log;
        mExecutor =
                new ScheduledThreadPoolExecutor(
                        1, Thread.ofPlatform().name(name).daemon().factory());
        mExecutor.setRemoveOnCancelPolicy(true);
    }

    /** Queues a task. Tasks posted after {@link #close} are dropped. */
    void post(Runnable task) {
        try {
            mExecutor.execute(() -> guarded(task));
        } catch (RejectedExecutionException e) {
            mLog.debug("task dropped because the node is closed: %s", e);
        }
    }

    /** Runs a task periodically, with a fixed delay before each run. */
    void every(long pauseMillis, Runnable task) {
        mExecutor.scheduleWithFixedDelay(
                () -> guarded(task), pauseMillis, pauseMillis, TimeUnit.MILLISECONDS);
    }

    /** Runs a task once after a delay. */
    void after(long pauseMillis, Runnable task) {
        mExecutor.schedule(() -> guarded(task), pauseMillis, TimeUnit.MILLISECONDS);
    }

    private void guarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            mLog.error("task failed with an unexpected exception", e);
        }
    }

    @Override
    public void close() {
        mExecutor.shutdownNow();
    }
}
