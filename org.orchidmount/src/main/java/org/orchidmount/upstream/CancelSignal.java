/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.upstream;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Tells work in progress that its result is no longer wanted.
 *
 * <p>Invariant: each registered action runs once, at the cancel or at its registration if that
 * comes later, unless it was withdrawn before. Thread-safe.
 */
public final class CancelSignal {
    private final List<Runnable> mActions = new ArrayList<>();
    private final CountDownLatch mCancelled = new CountDownLatch(1);
    private Reason mReason;

    /**
     * Cancels; later calls do nothing.
     *
     * @param reason why
     */
    public void cancel(Reason reason) {
        List<Runnable> actions;
        synchronized (mActions) {
            if (mReason != null) {
                return;
            }
            mReason = reason;
            actions = List.copyOf(mActions);
            mActions.clear();
            mCancelled.countDown();
        }
        actions.forEach(Runnable::run);
    }

    /**
     * Tells whether the work was cancelled.
     *
     * @return true after {@link #cancel}
     */
    public boolean isCancelled() {
        synchronized (mActions) {
            return mReason != null;
        }
    }

    /**
     * Pauses until the work is cancelled, but not too long.
     *
     * @param longest the longest pause
     * @return true if the work is cancelled
     * @throws InterruptedException if the thread is interrupted
     */
    public boolean await(Duration longest) throws InterruptedException {
        return mCancelled.await(longest.toNanos(), TimeUnit.NANOSECONDS);
    }

    /**
     * Tells why the work was cancelled.
     *
     * @return the reason, or null if it was not cancelled
     */
    public Reason reason() {
        synchronized (mActions) {
            return mReason;
        }
    }

    /**
     * Registers what to do at a cancel.
     *
     * @param action the action; it must not block
     * @return withdraws the action when closed
     */
    public Registration onCancel(Runnable action) {
        synchronized (mActions) {
            if (mReason == null) {
                mActions.add(action);
                return () -> withdraw(action);
            }
        }
        action.run();
        return () -> {};
    }

    private void withdraw(Runnable action) {
        synchronized (mActions) {
            mActions.remove(action);
        }
    }

    /** Why work is cancelled. */
    public enum Reason {
        /** Nobody waits for the answer. */
        CALLER_GONE,
        /** The instance stops and will not wait for the work; the caller gets that answer. */
        INSTANCE_STOPPING,
        /** The upstream that did the work has started again and knows nothing of it. */
        UPSTREAM_STARTED_AGAIN
    }

    /** A registered action. */
    @FunctionalInterface
    public interface Registration extends AutoCloseable {
        @Override
        void close();
    }
}
