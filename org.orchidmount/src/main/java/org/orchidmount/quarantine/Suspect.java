/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.quarantine;

import java.util.function.Supplier;

/**
 * What may be the cause of a crash, for one request: the whole request, or a part of its prompt.
 *
 * <p>Invariant: a crash is added to the record that was known when the run began. Confined to one
 * thread.
 */
final class Suspect {
    private final CrashReports mReports;
    private final Supplier<RequestFingerprint> mFingerprintSupplier;
    private final int mSerializeAfter;
    private RequestFingerprint mFingerprint;

    /** Record that was known when the current run began; null if no crash was known. */
    private CrashRecord mKnownRecord;

    /** Whether this request holds the right to run among those that share the suspect. */
    private boolean mHasRunLock;

    /**
     * Creates a suspect.
     *
     * @param reports crash reports of this instance
     * @param fingerprintSupplier computes the fingerprint
     * @param serializeAfter number of crashes from which requests that share the suspect run one at
     *     a time
     */
    Suspect(
            CrashReports reports,
            Supplier<RequestFingerprint> fingerprintSupplier,
            int serializeAfter) {
        mReports = reports;
        mFingerprintSupplier = fingerprintSupplier;
        mSerializeAfter = serializeAfter;
    }

    /** Returns the fingerprint, computed by the first call. */
    RequestFingerprint fingerprint() {
        if (mFingerprint == null) {
            mFingerprint = mFingerprintSupplier.get();
        }
        return mFingerprint;
    }

    boolean isQuarantined() {
        return !mReports.isEmpty() && mReports.find(fingerprint()).isQuarantined();
    }

    /**
     * Begins a run; returns false if the request must not run now, because the suspect is
     * quarantined or another request that shares it is running.
     */
    boolean tryBeginRun() {
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

    /** Returns the record that includes a crash of the current run. */
    CrashRecord afterCrash(long resumePosition, long position) {
        CrashRecord before = mKnownRecord == null ? CrashRecord.none(fingerprint()) : mKnownRecord;
        return before.afterCrash(resumePosition, position);
    }

    /** Gives up the run lock without releasing it; returns whether it was held. */
    boolean takeRunLock() {
        boolean hadRunLock = mHasRunLock;
        mHasRunLock = false;
        return hadRunLock;
    }

    void releaseRunLock() {
        mReports.releaseRunLock(fingerprint());
    }

    void survived() {
        if (!mReports.isEmpty()) {
            mReports.survived(fingerprint());
        }
    }

    void close() {
        if (takeRunLock()) {
            releaseRunLock();
        }
    }
}
