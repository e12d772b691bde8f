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
 * Checks before each run of one request whether it may run, and reports the crashes of its runs.
 *
 * <p>Invariant: a crash is added to the record that was known when the run began. The fingerprint
 * is computed when it is first needed, so that requests incur no cost while no crash is known.
 * Confined to one thread.
 */
public final class RunGuard implements AutoCloseable {
    /** Number of crashes from which copies of a request to a model engine run one at a time. */
    public static final int SERIALIZE_PROMPTS_AFTER = 1;

    /**
     * The same number for plain services. Many callers send them identical requests at once, and
     * these must not all wait for one another because an upstream crashed for another reason.
     */
    public static final int SERIALIZE_PLAIN_AFTER = 2;

    private final CrashReports mReports;
    private final Supplier<RequestFingerprint> mFingerprintSupplier;
    private final int mSerializeAfter;
    private RequestFingerprint mFingerprint;

    /** Record that was known when the current run began; null if no crash was known. */
    private CrashRecord mKnownRecord;

    /** Whether this request holds the right to run among its copies. */
    private boolean mHasRunLock;

    /**
     * Creates a guard.
     *
     * @param reports crash reports of this instance
     * @param fingerprintSupplier computes the fingerprint of the request
     * @param serializeAfter number of crashes from which copies of the request run one at a time
     */
    public RunGuard(
            CrashReports reports,
            Supplier<RequestFingerprint> fingerprintSupplier,
            int serializeAfter) {
        mReports = reports;
        mFingerprintSupplier = fingerprintSupplier;
        mSerializeAfter = serializeAfter;
    }

    /**
     * Returns the fingerprint of the request, computed by the first call.
     *
     * @return the fingerprint
     */
    public RequestFingerprint fingerprint() {
        if (mFingerprint == null) {
            mFingerprint = mFingerprintSupplier.get();
        }
        return mFingerprint;
    }

    /**
     * Returns whether the request must not be run any more.
     *
     * @return true if too many upstreams have crashed while running it
     */
    public boolean isQuarantined() {
        return !mReports.isEmpty() && mReports.find(fingerprint()).isQuarantined();
    }

    /**
     * Begins a run. Must be called immediately before the run, since a crash of this run is counted
     * in addition to all those known by then.
     *
     * @return false if the request must not run now, because it is quarantined or another copy of
     *     it is running
     */
    public boolean tryBeginRun() {
        mKnownRecord = mReports.isEmpty() ? null : mReports.find(fingerprint());
        if (mKnownRecord == null) {
            return true;
        }
        return !mKnownRecord.isQuarantined()
                && tryAcquireRunLock()
                && !mKnownRecord.isQuarantined();
    }

    /**
     * Reloads the record after acquiring the run lock, since the previous holder may have added a
     * crash.
     */
    private boolean tryAcquireRunLock() {
        if (mKnownRecord.crashes() < mSerializeAfter || mHasRunLock) {
            return true;
        }
        mHasRunLock = mReports.tryAcquireRunLock(fingerprint());
        mKnownRecord = mReports.find(fingerprint());
        return mHasRunLock;
    }

    /**
     * Reports that the current run has failed and was not cancelled.
     *
     * @param failure how it failed; one for which {@link CrashReports#mayBeCrash} is true
     * @param upstream incarnation of the upstream that ran it
     * @param peer address of that upstream
     * @param resumePosition last event or token that the caller had when the run began; 0 for none
     * @param position last event or token that the caller has now
     */
    public void failed(
            Failure failure, Incarnation upstream, Peer peer, long resumePosition, long position) {
        mReports.suspectedCrash(failure, afterCrash(resumePosition, position), upstream, peer);
    }

    /**
     * Reports that the upstream of the current run is known to have crashed.
     *
     * @param resumePosition as in {@link #failed}
     * @param position as in {@link #failed}
     */
    public void crashed(long resumePosition, long position) {
        mReports.crashed(afterCrash(resumePosition, position));
    }

    /**
     * Reports that the current run was abandoned because its caller disconnected. Copies of the
     * request wait for the run lock until it is known whether the upstream survives.
     *
     * @param peer address of the upstream
     * @param isPlanned returns whether the upstream has announced its departure
     * @param resumePosition as in {@link #failed}
     * @param position as in {@link #failed}
     */
    public void abandoned(
            Peer peer, BooleanSupplier isPlanned, long resumePosition, long position) {
        boolean hadRunLock = mHasRunLock;
        mHasRunLock = false;
        mReports.abandoned(
                afterCrash(resumePosition, position),
                peer,
                isPlanned,
                () -> {
                    if (hadRunLock) {
                        mReports.releaseRunLock(fingerprint());
                    }
                });
    }

    private CrashRecord afterCrash(long resumePosition, long position) {
        CrashRecord before = mKnownRecord == null ? CrashRecord.none(fingerprint()) : mKnownRecord;
        return before.afterCrash(resumePosition, position);
    }

    /** Reports that an upstream has survived the request. */
    public void survived() {
        if (!mReports.isEmpty()) {
            mReports.survived(fingerprint());
        }
    }

    /** Releases the run lock, so that another copy of the request can run. */
    @Override
    public void close() {
        if (mHasRunLock) {
            mReports.releaseRunLock(fingerprint());
        }
    }
}
