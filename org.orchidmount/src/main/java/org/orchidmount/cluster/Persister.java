/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.io.IOException;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.Lock;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import org.orchidmount.internal.log.PartLog;

/**
 * Writes values on a dedicated thread, so that a slow or hung disk blocks nothing else.
 *
 * <p>Only the newest pending value is written. A failed write is retried until it succeeds or a
 * newer value replaces it. The thread starts with the first value. Thread-safe; no other lock is
 * acquired while the lock is held.
 *
 * @param <T> the type of the values; not null
 */
final class Persister<T> implements AutoCloseable {
    private static final PartLog LOG = PartLog.of("disk");

    /** Delay before a failed write is retried. */
    private static final long RETRY_MILLIS = 100;

    private final Lock mLock = new ReentrantLock();
    private final Condition mChanged = mLock.newCondition();
    private final Writer<T> mWriter;
    private final Consumer<T> mWritten;
    private final Thread mThread;
    private boolean mIsStarted;
    private T mPending;
    private boolean mIsFailing;

    /** Writes a value durably. */
    @FunctionalInterface
    interface Writer<T> {
        /**
         * Writes a value; returns once it is synced.
         *
         * @throws IOException if the write failed and is to be retried
         */
        void write(T value) throws IOException;
    }

    /**
     * Creates a persister without a pending value.
     *
     * @param thread the name of the writing thread
     * @param writer writes a value
     * @param written called on the writing thread after a value was synced
     */
    Persister(String thread, Writer<T> writer, Consumer<T> written) {
        mWriter = writer;
        mWritten = written;
        mThread = Thread.ofPlatform().name(thread).daemon().unstarted(this::writeAll);
    }

    /** Queues a value for writing, replacing any pending value. */
    void persist(T value) {
        mLock.lock();
        try {
            mPending = value;
            mChanged.signal();
            if (!mIsStarted) {
                mIsStarted = true;
                mThread.start();
            }
        } finally {
            mLock.unlock();
        }
    }

    private void writeAll() {
        try {
            while (true) {
                T value = take();
                if (write(value)) {
                    mWritten.accept(value);
                } else {
                    putBack(value);
                    Thread.sleep(RETRY_MILLIS);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private T take() throws InterruptedException {
        mLock.lockInterruptibly();
        try {
            while (mPending == null) {
                mChanged.await();
            }
            T value = mPending;
            mPending = null;
            return value;
        } finally {
            mLock.unlock();
        }
    }

    private void putBack(T value) {
        mLock.lock();
        try {
            if (mPending == null) {
                mPending = value;
            }
        } finally {
            mLock.unlock();
        }
    }

    private boolean write(T value) {
        try {
            mWriter.write(value);
            if (mIsFailing) {
                mIsFailing = false;
                LOG.info("disk writes succeed again");
            }
            return true;
        } catch (IOException e) {
            if (!mIsFailing) {
                mIsFailing = true;
                LOG.warn("disk write failed and will be retried: %s", e);
            }
            return false;
        }
    }

    @Override
    public void close() {
        mThread.interrupt();
    }
}
