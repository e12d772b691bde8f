/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.time.Duration;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.orchidmount.internal.log.PartLog;

/**
 * Runs the tasks of a node in sequence on a dedicated thread, so that the node's state needs no
 * lock. An exception in a task is logged and ends neither the thread nor periodic tasks; an error
 * is passed to the handler of uncaught ones, which decides whether the process goes on.
 * Thread-safe.
 */
final class TaskThread implements AutoCloseable {
    /** Maximum wait for a running task; tasks do no I/O that takes longer. */
    private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(5);

    private final PartLog mLog;
    private volatile Thread mThread;
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
                        1,
                        task -> {
                            mThread = Thread.ofPlatform().name(name).daemon().unstarted(task);
                            return mThread;
                        });
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
        } catch (Error e) {
            // The executor would keep it, and end the periodic task without a word.
            Thread thread = Thread.currentThread();
            thread.getUncaughtExceptionHandler().uncaughtException(thread, e);
        }
    }

    /**
     * Drops the queued tasks, interrupts the running one and waits until it has ended, so that the
     * caller may access the node's state afterwards. Does not wait if called by a task.
     */
    @Override
    public void close() {
        mExecutor.shutdownNow();
        if (Thread.currentThread() == mThread) {
            return;
        }
        try {
            if (!mExecutor.awaitTermination(CLOSE_TIMEOUT.toNanos(), TimeUnit.NANOSECONDS)) {
                mLog.warn("a task is still running %d s after the end", CLOSE_TIMEOUT.toSeconds());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
