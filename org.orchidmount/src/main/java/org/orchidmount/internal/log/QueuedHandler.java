/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.log;

import java.io.PrintStream;
import java.time.Duration;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;

/**
 * Writes log lines on a thread of its own, so that nobody who logs waits for whoever reads the log.
 *
 * <p>Invariants: lines are written in the order of their arrival; where the reader is so slow that
 * the queue is full, lines are dropped, and their number is written once there is room.
 * Thread-safe.
 */
final class QueuedHandler extends Handler {
    /** Lines that wait: some seconds of a busy instance, a few megabytes. */
    private static final int MAX_QUEUED = 8_192;

    /** How long an end waits for lines to be written; a reader that is gone is not waited for. */
    private static final Duration FLUSH_TIMEOUT = Duration.ofMillis(500);

    /** Pause between two looks at the queue while it is flushed. */
    private static final Duration FLUSH_STEP = Duration.ofMillis(2);

    private final BlockingQueue<String> mLines = new ArrayBlockingQueue<>(MAX_QUEUED);
    private final AtomicLong mDropped = new AtomicLong();
    private final AtomicLong mUnwritten = new AtomicLong();
    private final PrintStream mOut;

    QueuedHandler(PrintStream out, Formatter formatter) {
        mOut = out;
        setFormatter(formatter);
        setLevel(Level.ALL);
        Thread.ofPlatform().name("log").daemon().start(this::writeAll);
    }

    @Override
    public void publish(LogRecord record) {
        if (!isLoggable(record)) {
            return;
        }
        mUnwritten.incrementAndGet();
        if (!mLines.offer(getFormatter().format(record))) {
            mUnwritten.decrementAndGet();
            mDropped.incrementAndGet();
        }
    }

    private void writeAll() {
        try {
            while (true) {
                mOut.print(mLines.take());
                writeDropped();
                if (mLines.isEmpty()) {
                    mOut.flush();
                }
                mUnwritten.decrementAndGet();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void writeDropped() {
        long dropped = mDropped.getAndSet(0);
        if (dropped > 0) {
            LogRecord record = new LogRecord(Level.WARNING, "log: " + dropped + " lines dropped");
            mOut.print(getFormatter().format(record));
        }
    }

    @Override
    public void flush() {
        long endNanos = System.nanoTime() + FLUSH_TIMEOUT.toNanos();
        try {
            while (mUnwritten.get() > 0 && System.nanoTime() - endNanos < 0) {
                Thread.sleep(FLUSH_STEP);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        flush();
    }
}
