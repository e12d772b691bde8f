/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.quarantine;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.orchidmount.junit.ManualClock;

/** Tests {@code RunGuard}. */
final class RunGuardTest {
    private final ManualClock mClock = new ManualClock();
    private final CrashRegistry mRegistry = new CrashRegistry(mClock);
    private final CrashReports mReports =
            new CrashReports(
                    mRegistry,
                    record -> {},
                    new ConnectProbe(),
                    (peer, longest) -> false,
                    RunLock.UNCOORDINATED,
                    mClock);
    private final AtomicInteger mFingerprints = new AtomicInteger();

    private RunGuard guard(int takesTurnsAfter) {
        return new RunGuard(mReports, this::fingerprint, takesTurnsAfter);
    }

    private RequestFingerprint fingerprint() {
        mFingerprints.incrementAndGet();
        return Fingerprints.of("a");
    }

    private void crash(int times) {
        for (int i = 0; i < times; i++) {
            mReports.crashed(List.of(mReports.find(Fingerprints.of("a")).afterCrash(0, 0)));
        }
    }

    @Test
    void noFingerprintIsMadeWhileNoCrashIsKnown() {
        try (RunGuard guard = guard(1)) {
            assertThat(guard.tryBeginRun()).isTrue();
            assertThat(guard.isQuarantined()).isFalse();
            guard.survived();
        }
        assertThat(mFingerprints.get()).isEqualTo(0);
    }

    /** The second copy comes while the first one runs. */
    @ParameterizedTest
    @CsvSource({
        "1, 0, true, true",
        "1, 1, true, false",
        "1, 2, true, false",
        "1, 3, false, false",
        "2, 1, true, true",
        "2, 2, true, false",
        "2, 3, false, false",
    })
    void copiesOfASuspectTakeTurns(int after, int crashes, boolean first, boolean second) {
        crash(crashes);
        try (RunGuard other = guard(after)) {
            try (RunGuard one = guard(after)) {
                assertThat(one.tryBeginRun()).isEqualTo(first);
                assertThat(one.tryBeginRun()).isEqualTo(first);
                assertThat(other.tryBeginRun()).isEqualTo(second);
            }
            assertThat(other.tryBeginRun()).isEqualTo(first);
        }
    }

    /** What becomes known while the request waits for a place counts too. */
    @Test
    void aCrashCountsOnTopOfWhatWasKnownWhenTheRunBegan() {
        try (RunGuard guard = guard(1)) {
            assertThat(guard.tryBeginRun()).isTrue();
            crash(2);
            guard.crashed(0, 0);
            assertThat(crashes()).isEqualTo(2);
            assertThat(guard.tryBeginRun()).isTrue();
            guard.crashed(0, 0);
            assertThat(crashes()).isEqualTo(3);
        }
    }

    private int crashes() {
        return mReports.find(Fingerprints.of("a")).crashes();
    }
}
