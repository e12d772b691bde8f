/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.quota;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/** The most units that any window held. Units are added in the order of time. Not thread-safe. */
public final class WindowSum {
    private final long mWindowNanos;
    private final Deque<Used> mUsed = new ArrayDeque<>();
    private long mSum;
    private long mMost;

    private record Used(long units, long atNanos) {}

    /**
     * Creates an empty one.
     *
     * @param window the span that is looked at
     */
    public WindowSum(Duration window) {
        mWindowNanos = window.toNanos();
    }

    /**
     * Adds units.
     *
     * @param units how many
     * @param nowNanos when, not before those added last
     */
    public void add(long units, long nowNanos) {
        mUsed.addLast(new Used(units, nowNanos));
        mSum += units;
        while (nowNanos - mUsed.getFirst().atNanos() > mWindowNanos) {
            mSum -= mUsed.removeFirst().units();
        }
        mMost = Math.max(mMost, mSum);
    }

    /**
     * Returns the most units that a window held.
     *
     * @return the sum
     */
    public long most() {
        return mMost;
    }
}
