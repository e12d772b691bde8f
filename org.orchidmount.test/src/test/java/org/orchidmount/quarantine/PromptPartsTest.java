/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.quarantine;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.orchidmount.junit.ManualClock;

/** Tests how crashes are counted for the parts of prompts, at one instance. */
final class PromptPartsTest {
    private final ManualClock mClock = new ManualClock();
    private final CrashReports mReports =
            new CrashReports(
                    new CrashRegistry(mClock),
                    record -> {},
                    peer -> TerminationProbe.Finding.ENDED,
                    (peer, timeout) -> false,
                    RunLock.UNCOORDINATED,
                    mClock);
    private int mRequests;

    /** Begins a request, no two of which are alike. */
    private RunGuard guard(String... parts) {
        String id = "r" + mRequests++;
        return new RunGuard(
                mReports,
                () -> Fingerprints.of(id),
                RunGuard.SERIALIZE_PROMPTS_AFTER,
                Optional.of(new PromptParts(mReports.parts(), "route", "s", List.of(parts))));
    }

    private void survive(String... parts) {
        RunGuard guard = guard(parts);
        assertThat(guard.tryBeginRun()).isTrue();
        guard.survived();
        guard.close();
    }

    private boolean crash(String... parts) {
        RunGuard guard = guard(parts);
        boolean runs = guard.tryBeginRun();
        if (runs) {
            guard.crashed(0, 2);
        }
        guard.close();
        return runs;
    }

    private boolean isQuarantined(String... parts) {
        try (RunGuard guard = guard(parts)) {
            return guard.isQuarantined();
        }
    }

    /** Guards against a cause that each request with it hides behind its own content. */
    @Test
    void aPartThatCrashesEnginesIsQuarantinedWhateverElsePromptsHold() {
        survive("first", "a");
        for (int i = 0; i < CrashRecord.QUARANTINE_AFTER; i++) {
            assertThat(crash("first", "bad", "other-" + i)).isTrue();
        }
        assertThat(isQuarantined("first", "bad", "yet-another")).isTrue();
        assertThat(isQuarantined("first", "a")).isFalse();
        assertThat(isQuarantined("first", "other-0")).isFalse();
    }

    /** Guards against two such parts at once of which each is blamed for the other's crashes. */
    @Test
    void twoSuchPartsAreToldApart() {
        survive("first", "a");
        for (int i = 0; i < CrashRecord.QUARANTINE_AFTER; i++) {
            assertThat(crash("first", "bad-1")).isTrue();
            assertThat(crash("first", "bad-2")).isTrue();
        }
        assertThat(isQuarantined("first", "bad-1")).isTrue();
        assertThat(isQuarantined("first", "bad-2")).isTrue();
        assertThat(isQuarantined("first", "a")).isFalse();
    }

    /** Guards against prompts that wait for one of which the parts are proven meanwhile. */
    @Test
    void aSuspectedPartRunsOnceAtATimeUntilItIsProven() {
        assertThat(crash("first", "other")).isTrue();
        try (RunGuard running = guard("first", "other")) {
            assertThat(running.tryBeginRun()).isTrue();
            assertThat(guard("first", "other").tryBeginRun()).isFalse();
            running.partsSurvived();
            assertThat(guard("first", "other").tryBeginRun()).isTrue();
        }
    }

    /** Guards against a sound part that is barred as it was at crashes of other causes. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aPartThatAnEngineHasSurvivedIsNoSuspect(boolean isBefore) {
        if (isBefore) {
            survive("first", "a");
        }
        assertThat(crash("first", "a")).isTrue();
        assertThat(crash("first", "a")).isTrue();
        survive("first", "a");
        for (int i = 0; i < 2 * CrashRecord.QUARANTINE_AFTER; i++) {
            assertThat(crash("first", "a")).isTrue();
        }
        assertThat(isQuarantined("first", "a")).isFalse();
    }

    /** Guards against all prompts that are refused for the part that they share. */
    @Test
    void whatAllPromptsOfARouteShareIsNoSuspect() {
        for (int i = 0; i < 20; i++) {
            guard("first", "a-" + i).close();
        }
        for (int i = 0; i < 10; i++) {
            crash("first", "b-" + i);
        }
        assertThat(isQuarantined("first", "c")).isFalse();
    }
}
