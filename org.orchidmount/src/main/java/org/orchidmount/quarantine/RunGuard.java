/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.quarantine;

import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.orchidmount.errors.Failure;
import org.orchidmount.internal.http.Peer;
import org.orchidmount.membership.Incarnation;

/**
 * Asks before each run of one request whether it may run, and counts the crashes of its runs.
 *
 * <p>Invariant: a crash is counted on top of what was known when its run began. The fingerprint is
 * made when it is first needed, so that requests cost nothing more while no crash is known. Used by
 * one thread.
 */
public final class RunGuard implements AutoCloseable {
    /** Crashes from which copies of a request to a model engine run one at a time. */
    public static final int PROMPT_TAKES_TURNS_AFTER = 1;

    /**
     * The same for plain services, of which many callers ask the same thing at once: they must not
     * all wait for one because an upstream crashed by itself.
     */
    public static final int PLAIN_TAKES_TURNS_AFTER = 2;

    private final CrashReports mReports;
    private final Supplier<RequestFingerprint> mMakeFingerprint;
    private final int mTakesTurnsAfter;
    private RequestFingerprint mFingerprint;

    /** What was known when the present run began; null while no crash was. */
    private CrashRecord mKnown;

    /** Whether this request is the copy that runs, of several. */
    private boolean mHasTurn;

    /**
     * Creates a guard.
     *
     * @param reports what the instance knows of crashes
     * @param makeFingerprint makes the request's fingerprint
     * @param takesTurnsAfter the crashes from which copies of the request run one at a time
     */
    public RunGuard(
            CrashReports reports,
            Supplier<RequestFingerprint> makeFingerprint,
            int takesTurnsAfter) {
        mReports = reports;
        mMakeFingerprint = makeFingerprint;
        mTakesTurnsAfter = takesTurnsAfter;
    }

    /**
     * Returns the request's fingerprint.
     *
     * @return the fingerprint
     */
    public RequestFingerprint fingerprint() {
        if (mFingerprint == null) {
            mFingerprint = mMakeFingerprint.get();
        }
        return mFingerprint;
    }

    /**
     * Tells whether the request must not be run any more.
     *
     * @return true if too many upstreams have crashed under it
     */
    public boolean isQuarantined() {
        return !mReports.isEmpty() && mReports.find(fingerprint()).isQuarantined();
    }

    /**
     * Begins a run. To be asked shortly before it, since what becomes known of other runs until
     * then is what this one happens in spite of.
     *
     * @return false if the request must not run now, as it is quarantined or a copy of it runs
     */
    public boolean mayRun() {
        mKnown = mReports.isEmpty() ? null : mReports.find(fingerprint());
        if (mKnown == null) {
            return true;
        }
        return !mKnown.isQuarantined() && takesTurn() && !mKnown.isQuarantined();
    }

    /** With the turn comes what the copy that had it before has shown. */
    private boolean takesTurn() {
        if (mKnown.crashes() < mTakesTurnsAfter || mHasTurn) {
            return true;
        }
        mHasTurn = mReports.tryBegin(fingerprint());
        mKnown = mReports.find(fingerprint());
        return mHasTurn;
    }

    /**
     * Notes that the present run has failed, and was not cancelled.
     *
     * @param failure how it failed; one that {@link CrashReports#mayBeCrash}
     * @param upstream the upstream that had it
     * @param peer where that listened
     * @param from the last event or token that the caller had when the run began; 0 for none
     * @param at the last that it has now
     */
    public void failed(Failure failure, Incarnation upstream, Peer peer, long from, long at) {
        mReports.mayHaveCrashed(failure, afterCrash(from, at), upstream, peer);
    }

    /**
     * Notes that the upstream of the present run is known to have crashed.
     *
     * @param from as in {@link #failed}
     * @param at as in {@link #failed}
     */
    public void crashed(long from, long at) {
        mReports.crashed(afterCrash(from, at));
    }

    /**
     * Notes that the present run was broken off because its caller left. A copy of the request has
     * to wait for its turn until it is known whether the upstream survives that.
     *
     * @param peer where the upstream listened
     * @param isPlanned tells whether it has said that it leaves
     * @param from as in {@link #failed}
     * @param at as in {@link #failed}
     */
    public void abandoned(Peer peer, BooleanSupplier isPlanned, long from, long at) {
        boolean hadTurn = mHasTurn;
        mHasTurn = false;
        mReports.abandoned(
                afterCrash(from, at),
                peer,
                isPlanned,
                () -> {
                    if (hadTurn) {
                        mReports.end(fingerprint());
                    }
                });
    }

    private CrashRecord afterCrash(long from, long at) {
        CrashRecord before = mKnown == null ? CrashRecord.none(fingerprint()) : mKnown;
        return before.afterCrash(from, at);
    }

    /** Notes that an upstream has survived the request. */
    public void survived() {
        if (!mReports.isEmpty()) {
            mReports.survived(fingerprint());
        }
    }

    /** Lets another copy of the request run. */
    @Override
    public void close() {
        if (mHasTurn) {
            mReports.end(fingerprint());
        }
    }
}
