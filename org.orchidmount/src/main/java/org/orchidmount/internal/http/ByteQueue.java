/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.Lock;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Hands chunks of bytes from an I/O thread to one reader, with a bound.
 *
 * <p>Invariant: when {@link #offer} has returned false, the I/O thread stops reading until the
 * reader has drained half of the queue and the resume action has run. That is how a slow reader
 * slows its peer down. Thread-safe; the lock is a leaf, no other lock is taken under it.
 */
final class ByteQueue {
    /** Chunks held before the sender has to wait. */
    private static final int MAX_CHUNKS = 4;

    private final Lock mLock = new ReentrantLock();
    private final Condition mChanged = mLock.newCondition();
    private final Deque<byte[]> mChunks = new ArrayDeque<>();
    private final Runnable mResume;
    private boolean mPaused;
    private boolean mEnded;
    private IOException mError;

    /**
     * Creates a queue.
     *
     * @param resume asks the I/O thread to read on
     */
    ByteQueue(Runnable resume) {
        mResume = resume;
    }

    /** Adds a chunk; returns false if the I/O thread must pause after it. */
    boolean offer(byte[] chunk) {
        mLock.lock();
        try {
            mChunks.addLast(chunk);
            mPaused = mChunks.size() >= MAX_CHUNKS;
            mChanged.signalAll();
            return !mPaused;
        } finally {
            mLock.unlock();
        }
    }

    /** Marks the regular end. */
    void end() {
        finish(null);
    }

    /** Marks the end by an error; chunks already queued are still delivered. */
    void fail(IOException error) {
        finish(error);
    }

    private void finish(IOException error) {
        mLock.lock();
        try {
            if (mEnded) {
                return;
            }
            mEnded = true;
            mError = error;
            mChanged.signalAll();
        } finally {
            mLock.unlock();
        }
    }

    /** Tells whether the regular end has been reached, whatever was taken. */
    boolean hasEndedWhole() {
        mLock.lock();
        try {
            return mEnded && mError == null;
        } finally {
            mLock.unlock();
        }
    }

    /** Tells whether the regular end has been reached and all chunks were taken. */
    boolean isDrained() {
        mLock.lock();
        try {
            return mEnded && mError == null && mChunks.isEmpty();
        } finally {
            mLock.unlock();
        }
    }

    /**
     * Takes the next chunk.
     *
     * @param timeout the longest wait
     * @return the chunk, or null at the regular end
     * @throws IOException if the peer failed
     * @throws TimeoutException if nothing came in time
     * @throws InterruptedException if the reader is interrupted
     */
    byte[] take(Duration timeout) throws IOException, TimeoutException, InterruptedException {
        byte[] chunk;
        boolean resume = false;
        mLock.lockInterruptibly();
        try {
            long leftNanos = timeout.toNanos();
            while (mChunks.isEmpty() && !mEnded) {
                if (leftNanos <= 0) {
                    throw new TimeoutException("nothing received in " + timeout.toMillis() + " ms");
                }
                leftNanos = mChanged.awaitNanos(leftNanos);
            }
            chunk = mChunks.pollFirst();
            if (chunk == null && mError != null) {
                throw new IOException(mError.getMessage(), mError);
            }
            if (mPaused && mChunks.size() <= MAX_CHUNKS / 2) {
                mPaused = false;
                resume = true;
            }
        } finally {
            mLock.unlock();
        }
        if (resume) {
            mResume.run();
        }
        return chunk;
    }
}
