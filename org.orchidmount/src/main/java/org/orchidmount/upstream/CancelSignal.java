/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.upstream;

import java.util.ArrayList;
import java.util.List;

/**
 * Tells work in progress that its result is no longer wanted.
 *
 * <p>Invariant: each registered action runs once, at the cancel or at its registration if that
 * comes later, unless it was withdrawn before. Thread-safe.
 */
public final class CancelSignal {
    private final List<Runnable> mActions = new ArrayList<>();
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
        INSTANCE_STOPPING
    }

    /** A registered action. */
    @FunctionalInterface
    public interface Registration extends AutoCloseable {
        @Override
        void close();
    }
}
