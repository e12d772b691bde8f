/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.locks.Lock;
import java.util.concurrent.locks.ReentrantLock;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.internal.http.UnreadBytes;
import org.orchidmount.internal.log.PartLog;

/**
 * The bytes that the callers of an entry have not read, and which of them are disconnected for it.
 *
 * <p>Invariants: the bytes held never exceed the bound for all; a caller that reads all it is sent
 * is not known here and costs nothing; a caller that is disconnected holds nothing from that moment
 * on. Applies {@link UnreadRule}. Thread-safe; the lock is a leaf, and callers are disconnected
 * after it has been released.
 */
public final class UnreadResponses {
    private static final PartLog LOG = PartLog.of("callers");

    /**
     * Longer than the pauses of a caller that reads as fast as it is sent to. Bytes are overdue
     * after once to twice this time, because their times are not kept one by one.
     */
    private static final Duration OVERDUE_AFTER = Duration.ofSeconds(1);

    /** Why a caller is disconnected. */
    public enum Reason {
        /** It has more unread bytes than one caller may have. */
        CALLER_BYTES,
        /** All callers together have too many, and this one has the most. */
        TOTAL_BYTES,
        /** It has read nothing for a long time. */
        STALLED
    }

    private final UnreadRule mRule;
    private final MonotonicClock mClock;
    private final Lock mLock = new ReentrantLock();
    private final Set<Caller> mCallers = new LinkedHashSet<>();
    private final Map<Reason, Long> mDisconnected = new EnumMap<>(Reason.class);
    private long mHeldBytes;
    private long mMostHeldBytes;

    /**
     * Creates an empty record.
     *
     * @param rule the bounds
     * @param clock clock for the age of bytes
     */
    public UnreadResponses(UnreadRule rule, MonotonicClock clock) {
        mRule = rule;
        mClock = clock;
    }

    /**
     * Opens the account of a response.
     *
     * @param requestId the id of the request, for the log; may be null
     * @param disconnect disconnects its caller; must not block
     * @return the account
     */
    public UnreadBytes open(String requestId, Runnable disconnect) {
        return new Caller(requestId, disconnect);
    }

    /**
     * Returns the bytes held for all callers.
     *
     * @return the bytes
     */
    public long heldBytes() {
        mLock.lock();
        try {
            return mHeldBytes;
        } finally {
            mLock.unlock();
        }
    }

    /**
     * Returns the most bytes that were held at any time.
     *
     * @return the bytes
     */
    public long mostHeldBytes() {
        mLock.lock();
        try {
            return mMostHeldBytes;
        } finally {
            mLock.unlock();
        }
    }

    /**
     * Returns the number of callers for which bytes are held.
     *
     * @return the number
     */
    public int callersBehind() {
        mLock.lock();
        try {
            return mCallers.size();
        } finally {
            mLock.unlock();
        }
    }

    /**
     * Returns the number of callers that were disconnected.
     *
     * @param reason for which reason
     * @return the number
     */
    public long disconnected(Reason reason) {
        mLock.lock();
        try {
            return mDisconnected.getOrDefault(reason, 0L);
        } finally {
            mLock.unlock();
        }
    }

    /** Returns the counters, for logs. */
    @Override
    public String toString() {
        mLock.lock();
        try {
            return "%d bytes held for %d callers, at most %d; disconnected: %s"
                    .formatted(mHeldBytes, mCallers.size(), mMostHeldBytes, mDisconnected);
        } finally {
            mLock.unlock();
        }
    }

    private boolean add(Caller caller, int bytes, boolean isComplete) {
        List<Runnable> logs = new ArrayList<>();
        List<Caller> others = new ArrayList<>();
        boolean isAccepted;
        mLock.lock();
        try {
            if (caller.mIsClosed) {
                return false;
            }
            long nowNanos = mClock.nanoTime();
            caller.note(nowNanos);
            if (mRule.isTooMuchForOne(caller.mBytes + bytes, isComplete)) {
                boolean isOver = caller.mBytes + bytes <= mRule.totalBytes();
                Reason reason = isOver ? Reason.CALLER_BYTES : Reason.TOTAL_BYTES;
                logs.add(closeFor(caller, bytes, reason));
            } else {
                caller.mBytes += bytes;
                caller.mAddedBytes += bytes;
                mHeldBytes += bytes;
                mCallers.add(caller);
                disconnectHeaviest(nowNanos, others, logs);
                mMostHeldBytes = Math.max(mMostHeldBytes, mHeldBytes);
            }
            isAccepted = !caller.mIsClosed;
        } finally {
            mLock.unlock();
        }
        logs.forEach(Runnable::run);
        others.stream().filter(other -> other != caller).forEach(other -> other.mDisconnect.run());
        return isAccepted;
    }

    /** Closes accounts until the bound for all is kept. */
    private void disconnectHeaviest(long nowNanos, List<Caller> closed, List<Runnable> logs) {
        while (mHeldBytes > mRule.totalBytes()) {
            List<Caller> callers = List.copyOf(mCallers);
            OptionalInt heaviest =
                    mRule.disconnect(callers.stream().map(held -> held.unread(nowNanos)).toList());
            if (heaviest.isEmpty()) {
                return;
            }
            Caller chosen = callers.get(heaviest.getAsInt());
            logs.add(closeFor(chosen, 0, Reason.TOTAL_BYTES));
            closed.add(chosen);
        }
    }

    /** Closes the account of a caller to be disconnected; returns the action that logs it. */
    private Runnable closeFor(Caller caller, int moreBytes, Reason reason) {
        long bytes = caller.mBytes + moreBytes;
        mDisconnected.merge(reason, 1L, Long::sum);
        close(caller);
        long heldBytes = mHeldBytes;
        int behind = mCallers.size();
        return () ->
                LOG.info(
                        "%s: disconnected, %s: %d bytes unread, bounds %d and %d;"
                                + " %d bytes held for %d other callers",
                        caller.mRequestId,
                        reason,
                        bytes,
                        mRule.callerBytes(),
                        mRule.totalBytes(),
                        heldBytes,
                        behind);
    }

    private void close(Caller caller) {
        caller.mIsClosed = true;
        mHeldBytes -= caller.mBytes;
        caller.mBytes = 0;
        mCallers.remove(caller);
    }

    /** The account of one response. Its fields are guarded by the lock of the record. */
    private final class Caller implements UnreadBytes {
        private final String mRequestId;
        private final Runnable mDisconnect;
        private boolean mIsClosed;
        private long mBytes;

        /** All bytes ever added, and of these those added before a mark in time. */
        private long mAddedBytes;

        private long mMarkedBytes;
        private long mMarkNanos;

        /** All bytes added more than {@link #OVERDUE_AFTER} before they were last looked at. */
        private long mOldBytes;

        Caller(String requestId, Runnable disconnect) {
            mRequestId = requestId;
            mDisconnect = disconnect;
            mMarkNanos = mClock.nanoTime();
        }

        /** Moves the mark; must be called before bytes are added. */
        private void note(long nowNanos) {
            long sinceMarkNanos = nowNanos - mMarkNanos;
            if (sinceMarkNanos < OVERDUE_AFTER.toNanos()) {
                return;
            }
            // Nothing was added later than this time after the mark, or it would have moved.
            mOldBytes = sinceMarkNanos < 2 * OVERDUE_AFTER.toNanos() ? mMarkedBytes : mAddedBytes;
            mMarkedBytes = mAddedBytes;
            mMarkNanos = nowNanos;
        }

        private UnreadRule.Unread unread(long nowNanos) {
            note(nowNanos);
            long removedBytes = mAddedBytes - mBytes;
            return new UnreadRule.Unread(mBytes, Math.max(0, mOldBytes - removedBytes));
        }

        @Override
        public boolean add(int bytes, boolean isComplete) {
            return UnreadResponses.this.add(this, bytes, isComplete);
        }

        @Override
        public void remove(int bytes) {
            mLock.lock();
            try {
                if (mIsClosed) {
                    return;
                }
                mBytes -= bytes;
                mHeldBytes -= bytes;
                if (mBytes == 0) {
                    mCallers.remove(this);
                }
            } finally {
                mLock.unlock();
            }
        }

        @Override
        public void stalled() {
            Runnable log;
            mLock.lock();
            try {
                if (mIsClosed) {
                    return;
                }
                log = closeFor(this, 0, Reason.STALLED);
            } finally {
                mLock.unlock();
            }
            log.run();
        }

        @Override
        public void close() {
            mLock.lock();
            try {
                if (!mIsClosed) {
                    UnreadResponses.this.close(this);
                }
            } finally {
                mLock.unlock();
            }
        }
    }
}
