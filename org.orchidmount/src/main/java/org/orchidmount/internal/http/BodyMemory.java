/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import java.time.Duration;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.Lock;
import java.util.concurrent.locks.ReentrantLock;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.clock.SystemMonotonicClock;
import org.orchidmount.routing.BodyMemoryRule;

/**
 * The memory that the bodies of all requests of a process, and of all responses to them, take while
 * they are held whole.
 *
 * <p>Invariants: bytes are counted before they are read; the bytes counted never exceed the bounds
 * of {@link BodyMemoryRule}. Thread-safe; the lock is a leaf, no other lock is taken under it.
 */
public final class BodyMemory {
    /** Short against the time that a caller waits, long enough for an upload to end. */
    public static final Duration MAX_WAIT = Duration.ofMillis(1_500);

    /** Weight of the newest body in the mean of the times that bodies are held. */
    private static final double NEWEST_WEIGHT = 0.2;

    private final BodyMemoryRule mRule;
    private final MonotonicClock mClock;
    private final Duration mMaxWait;
    private final Lock mLock = new ReentrantLock();
    private final Condition mReturned = mLock.newCondition();
    private long mHeldBytes;
    private long mLargeBytes;
    private long mResponseBytes;
    private long mMostHeldBytes;
    private long mWaited;
    private long mRefused;
    private double mHoldNanos = MAX_WAIT.toNanos();

    /**
     * Creates an account of which nothing is taken.
     *
     * @param rule the bounds
     * @param clock clock for the time that bodies are held
     * @param maxWait how long a body waits for memory before it is refused
     */
    public BodyMemory(BodyMemoryRule rule, MonotonicClock clock, Duration maxWait) {
        mRule = rule;
        mClock = clock;
        mMaxWait = maxWait;
    }

    /** Creates an account without bounds. */
    static BodyMemory unbounded() {
        return new BodyMemory(BodyMemoryRule.UNBOUNDED, new SystemMonotonicClock(), Duration.ZERO);
    }

    /**
     * Opens the account of one request, with nothing held.
     *
     * @return the account
     */
    public Lease open() {
        return new Lease(false);
    }

    /**
     * Opens the account of the response to one request, with nothing held.
     *
     * @return the account
     */
    public Lease openResponse() {
        return new Lease(true);
    }

    /**
     * Returns the bytes that are held for all requests.
     *
     * @return the bytes
     */
    public long heldBytes() {
        return read(() -> mHeldBytes);
    }

    /**
     * Returns the most bytes that were held at any time.
     *
     * @return the bytes
     */
    public long mostHeldBytes() {
        return read(() -> mMostHeldBytes);
    }

    /**
     * Returns the number of bodies that waited for memory.
     *
     * @return the number, those that were refused included
     */
    public long waited() {
        return read(() -> mWaited);
    }

    /**
     * Returns the number of bodies that were refused.
     *
     * @return the number
     */
    public long refused() {
        return read(() -> mRefused);
    }

    /** Returns the counters, for logs. */
    @Override
    public String toString() {
        mLock.lock();
        try {
            return "%d bytes held of %d, at most %d; %d waited, %d refused"
                    .formatted(mHeldBytes, mRule.totalBytes(), mMostHeldBytes, mWaited, mRefused);
        } finally {
            mLock.unlock();
        }
    }

    private long read(Counter counter) {
        mLock.lock();
        try {
            return counter.get();
        } finally {
            mLock.unlock();
        }
    }

    @FunctionalInterface
    private interface Counter {
        long get();
    }

    /** What is held of the body of one request. Thread-safe. */
    public final class Lease implements AutoCloseable {
        private final boolean mIsResponse;
        private long mBytes;
        private long mSinceNanos;

        private Lease(boolean isResponse) {
            mIsResponse = isResponse;
        }

        /**
         * Sets how much is held, and waits until there is memory for it.
         *
         * @param bytes the bytes to be held instead of what was held so far
         * @throws BodyTooLargeException if there would not be enough memory without other requests
         * @throws NoBodyMemoryException if no memory was returned in time; what was held is kept
         * @throws InterruptedException if the thread is interrupted
         */
        public void hold(long bytes)
                throws BodyTooLargeException, NoBodyMemoryException, InterruptedException {
            hold(bytes, mMaxWait);
        }

        /** Does the same with another wait than that of the account. */
        void hold(long bytes, Duration maxWait)
                throws BodyTooLargeException, NoBodyMemoryException, InterruptedException {
            mLock.lockInterruptibly();
            try {
                if (!mRule.canEverHold(bytes, mIsResponse)) {
                    mRefused++;
                    throw new BodyTooLargeException(
                            mIsResponse ? mRule.totalBytes() : mRule.largeBytes());
                }
                if (!fits(bytes)) {
                    await(bytes, maxWait);
                }
                set(bytes);
            } finally {
                mLock.unlock();
            }
        }

        private void await(long bytes, Duration maxWait)
                throws NoBodyMemoryException, InterruptedException {
            mWaited++;
            long leftNanos = maxWait.toNanos();
            while (!fits(bytes)) {
                if (leftNanos <= 0) {
                    mRefused++;
                    throw new NoBodyMemoryException(bytes, Duration.ofNanos((long) mHoldNanos));
                }
                leftNanos = mReturned.awaitNanos(leftNanos);
            }
        }

        private boolean fits(long bytes) {
            if (bytes <= mBytes) {
                return true;
            }
            long ownResponseBytes = mIsResponse ? mBytes : 0;
            long ownRequestBytes = mBytes - ownResponseBytes;
            BodyMemoryRule.Held others =
                    new BodyMemoryRule.Held(
                            mHeldBytes - mResponseBytes - ownRequestBytes,
                            mLargeBytes - large(ownRequestBytes),
                            mResponseBytes - ownResponseBytes);
            return mIsResponse
                    ? mRule.canHoldResponse(bytes, others)
                    : mRule.canHoldRequest(bytes, others);
        }

        private void set(long bytes) {
            boolean isReturned = bytes < mBytes;
            if (mBytes == 0) {
                mSinceNanos = mClock.nanoTime();
            }
            if (bytes == 0 && !mIsResponse && mRule.isLarge(mBytes)) {
                long heldNanos = mClock.nanoTime() - mSinceNanos;
                mHoldNanos += NEWEST_WEIGHT * (heldNanos - mHoldNanos);
            }
            if (mIsResponse) {
                mResponseBytes += bytes - mBytes;
            } else {
                mLargeBytes += large(bytes) - large(mBytes);
            }
            mHeldBytes += bytes - mBytes;
            mBytes = bytes;
            mMostHeldBytes = Math.max(mMostHeldBytes, mHeldBytes);
            if (isReturned) {
                mReturned.signalAll();
            }
        }

        private long large(long bytes) {
            return mRule.isLarge(bytes) ? bytes : 0;
        }

        /** Returns all that is held; has no effect if nothing is. */
        @Override
        public void close() {
            mLock.lock();
            try {
                set(0);
            } finally {
                mLock.unlock();
            }
        }
    }
}
