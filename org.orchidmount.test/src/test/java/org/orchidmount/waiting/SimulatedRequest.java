/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.waiting;

import org.orchidmount.routing.MemoryForecast;

/** A request of a simulated site. Thread-confined. */
final class SimulatedRequest {
    final String mId;
    final int mEntry;
    final String mAccount;
    final int mUrgency;
    final long mTargetMillis;
    final int mPromptTokens;
    final int mExpectedTokens;
    final double mLength;
    final boolean mIsRetry;
    final long mArrivedMillis;
    final long mUntilMillis;
    long mNextSearchMillis;
    long mAnnouncedMillis = Long.MIN_VALUE / 2;
    boolean mHasLeft;

    SimulatedRequest(
            String id,
            int entry,
            String account,
            int urgency,
            long targetMillis,
            int promptTokens,
            int expectedTokens,
            double length,
            boolean isRetry,
            long arrivedMillis,
            long waitMillis) {
        mId = id;
        mEntry = entry;
        mAccount = account;
        mUrgency = urgency;
        mTargetMillis = targetMillis;
        mPromptTokens = promptTokens;
        mExpectedTokens = expectedTokens;
        mLength = length;
        mIsRetry = isRetry;
        mArrivedMillis = arrivedMillis;
        mUntilMillis = arrivedMillis + waitMillis;
        mNextSearchMillis = arrivedMillis;
    }

    MemoryForecast.Sequence sequence(double generatedTokens) {
        return new MemoryForecast.Sequence(
                mPromptTokens, generatedTokens, mExpectedTokens, Integer.MAX_VALUE);
    }

    /** Returns the part of the memory that the request may use. */
    int availableTokens() {
        return SimulatedQueue.MEMORY_TOKENS * (mIsRetry ? 85 : 100) / 100;
    }

    WaitingRequest waiting(long nowMillis) {
        return new WaitingRequest(
                mId,
                "s",
                mAccount,
                mUrgency,
                mPromptTokens + SimulatedQueue.MEMORY_TOKENS - availableTokens(),
                mExpectedTokens,
                nowMillis - mArrivedMillis,
                mUntilMillis - nowMillis,
                false);
    }
}
