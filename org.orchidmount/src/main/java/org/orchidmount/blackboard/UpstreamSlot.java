/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.blackboard;

import java.util.concurrent.TimeUnit;
import org.orchidmount.internal.http.Peer;
import org.orchidmount.routing.CircuitBreaker;
import org.orchidmount.routing.UpstreamView;
import org.orchidmount.table.UpstreamMode;
import org.orchidmount.table.UpstreamRow;
import org.orchidmount.upstream.EngineReport;

/**
 * The mutable state of one upstream on the board.
 *
 * <p>Invariant: the own figures equal the sum of the open reservations. Not thread-safe: guarded by
 * the board's lock. The immutable view is made anew only after a change.
 */
final class UpstreamSlot {
    /** Smoothing factor of the measured prefill rate. */
    private static final double RATE_SMOOTHING = 0.2;

    /** Below this many tokens a prefill's time says little about the rate. */
    private static final int MIN_TOKENS_FOR_RATE = 256;

    private final PrefixHints mHints = new PrefixHints();
    private UpstreamRow mRow;
    private int mOwnRunning;
    private long mOwnKvBytes;
    private long mKvBytesSinceReport;
    private int mReportedRunning;
    private long mReportedKvBytes;
    private long mBacklogTokens;
    private double mMeasuredRate;
    private long mLinkBacklogBytes;
    private long mNextEvent;
    private CircuitBreaker mBreaker = CircuitBreaker.CLOSED;
    private boolean mEjected;
    private boolean mIsPaused;
    private long mPauseEndNanos;
    private UpstreamView mView;

    UpstreamSlot(UpstreamRow row) {
        mRow = row;
    }

    UpstreamRow row() {
        return mRow;
    }

    void setRow(UpstreamRow row) {
        if (!row.equals(mRow)) {
            mRow = row;
            mView = null;
        }
    }

    PrefixHints hints() {
        return mHints;
    }

    Peer peer() {
        return new Peer(mRow.name(), mRow.host(), mRow.port());
    }

    long nextEvent() {
        return mNextEvent;
    }

    void addRunning(int delta) {
        mOwnRunning += delta;
        mView = null;
    }

    void addKvBytes(long delta) {
        mOwnKvBytes += delta;
        mKvBytesSinceReport += delta;
        mView = null;
    }

    void addBacklogTokens(long delta) {
        mBacklogTokens += delta;
        mView = null;
    }

    void addLinkBytes(long delta) {
        mLinkBacklogBytes += delta;
        mView = null;
    }

    /** Learns the prefill rate from one measured prefill. */
    void observePrefill(int uncachedTokens, long durationNanos) {
        if (uncachedTokens < MIN_TOKENS_FOR_RATE || durationNanos <= 0) {
            return;
        }
        double rate = uncachedTokens * (double) TimeUnit.SECONDS.toNanos(1) / durationNanos;
        mMeasuredRate =
                mMeasuredRate == 0 ? rate : mMeasuredRate + RATE_SMOOTHING * (rate - mMeasuredRate);
        mView = null;
    }

    void observeReport(EngineReport report, long nowNanos) {
        mReportedRunning = report.running() + report.waiting();
        mReportedKvBytes = report.kvBytesUsed();
        mKvBytesSinceReport = 0;
        mNextEvent = report.nextEvent();
        mHints.observed(report, nowNanos);
        mView = null;
    }

    /** Counts a success; closes the circuit. */
    void succeeded() {
        mBreaker = mBreaker.afterSuccess();
        mEjected = false;
        mView = null;
    }

    /** Counts a failure; opens the circuit after some in a row. Returns true if it has opened. */
    boolean failed(long nowNanos) {
        boolean wasEjected = mEjected;
        mBreaker = mBreaker.afterFailure(nowNanos);
        mEjected = mBreaker.isEjected(nowNanos);
        mView = null;
        return mEjected && !wasEjected;
    }

    /**
     * Notes that it takes nothing until a time; one that is earlier than before changes nothing.
     */
    void pause(long endNanos) {
        if (!mIsPaused || endNanos - mPauseEndNanos > 0) {
            mIsPaused = true;
            mPauseEndNanos = endNanos;
            mView = null;
        }
    }

    /** Returns what is left of its pause; zero without one. */
    long pauseLeftNanos(long nowNanos) {
        return mIsPaused ? Math.max(0, mPauseEndNanos - nowNanos) : 0;
    }

    /**
     * Lets single requests through again once the circuit has been open for a while, and all once a
     * pause is over.
     */
    void tick(long nowNanos) {
        if (mIsPaused && nowNanos - mPauseEndNanos >= 0) {
            mIsPaused = false;
            mView = null;
        }
        if (mEjected && !mBreaker.isEjected(nowNanos)) {
            mEjected = false;
            mView = null;
        }
    }

    UpstreamView view() {
        if (mView == null) {
            long reported = Math.max(0, mReportedKvBytes + mKvBytesSinceReport);
            mView =
                    new UpstreamView(
                            mRow.name(),
                            mRow.zone(),
                            mRow.weight(),
                            mRow.mode() == UpstreamMode.ACTIVE && !mEjected && !mIsPaused,
                            mRow.maxRunning(),
                            mOwnRunning,
                            mReportedRunning,
                            mRow.kvBytes(),
                            Math.max(mOwnKvBytes, reported),
                            mReportedKvBytes,
                            mBacklogTokens,
                            mMeasuredRate == 0 ? mRow.prefillTokensPerSecond() : mMeasuredRate,
                            mRow.linkBytesPerSecond(),
                            mLinkBacklogBytes);
        }
        return mView;
    }
}
