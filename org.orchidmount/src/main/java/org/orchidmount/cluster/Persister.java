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
import org.orchidmount.consensus.DurableState;
import org.orchidmount.consensus.EntryId;
import org.orchidmount.internal.log.PartLog;

/**
 * Writes states on a thread of its own, so that a slow or hung disk holds up nothing else.
 *
 * <p>Only the newest state that waits is written. A write that the disk refuses is tried again
 * until it succeeds or a newer state replaces it. Thread-safe; the lock is a leaf.
 */
final class Persister implements AutoCloseable {
    private static final PartLog LOG = PartLog.of("disk");

    /** Pause before a failed write is tried again. Chosen, not measured. */
    private static final long RETRY_MILLIS = 100;

    private final Lock mLock = new ReentrantLock();
    private final Condition mChanged = mLock.newCondition();
    private final StateFile mFile;
    private final Listener mListener;
    private final Thread mThread;
    private Write mWaiting;
    private boolean mRefused;

    /** Learns that a state was synced; called on the writing thread. */
    @FunctionalInterface
    interface Listener {
        /** Takes the number of the write and the place of the state. */
        void persisted(long number, EntryId entry);
    }

    private record Write(long number, DurableState state) {}

    Persister(StateFile file, Listener listener) {
        mFile = file;
        mListener = listener;
        mThread = Thread.ofPlatform().name("disk").daemon().start(this::writeAll);
    }

    /** Queues a state in place of the one that waits. */
    void persist(long number, DurableState state) {
        mLock.lock();
        try {
            mWaiting = new Write(number, state);
            mChanged.signal();
        } finally {
            mLock.unlock();
        }
    }

    private void writeAll() {
        try {
            while (true) {
                Write write = take();
                if (write(write)) {
                    mListener.persisted(write.number(), write.state().entry());
                } else {
                    putBack(write);
                    Thread.sleep(RETRY_MILLIS);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Write take() throws InterruptedException {
        mLock.lockInterruptibly();
        try {
            while (mWaiting == null) {
                mChanged.await();
            }
            Write write = mWaiting;
            mWaiting = null;
            return write;
        } finally {
            mLock.unlock();
        }
    }

    private void putBack(Write write) {
        mLock.lock();
        try {
            if (mWaiting == null) {
                mWaiting = write;
            }
        } finally {
            mLock.unlock();
        }
    }

    private boolean write(Write write) {
        try {
            mFile.write(write.state());
            if (mRefused) {
                mRefused = false;
                LOG.info("the disk takes writes again");
            }
            return true;
        } catch (IOException e) {
            if (!mRefused) {
                mRefused = true;
                LOG.warn("the disk refuses a write, trying on: %s", e);
            }
            return false;
        }
    }

    @Override
    public void close() {
        mThread.interrupt();
    }
}
