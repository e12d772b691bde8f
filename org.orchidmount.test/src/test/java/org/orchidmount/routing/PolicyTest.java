/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the policies and the cutting of prompts. */
class PolicyTest {
    private static final long MILLIS = 1_000_000;

    private static UpstreamView engine(String name, long taken, long backlogTokens, long link) {
        return engine(name, "z", true, taken, backlogTokens, link);
    }

    private static UpstreamView engine(
            String name, String zone, boolean available, long taken, long backlog, long link) {
        return new UpstreamView(
                name, zone, 1, available, 0, 0, 0, 100_000, taken, taken, backlog, 1000, 1_000_000,
                link);
    }

    private static Decision decide(
            long maxFirstTokenMillis,
            long waitedMillis,
            List<Candidate> prefill,
            UpstreamView... d) {
        RequestInfo request =
                new RequestInfo("r", "m", 100, 50, 15_000, 10_000, maxFirstTokenMillis, 0);
        List<Candidate> decode = Arrays.stream(d).map(u -> new Candidate(u, 0)).toList();
        return new JointPolicy()
                .decide(
                        new DecisionInput(request, prefill, decode, "z", 0, waitedMillis * MILLIS),
                        new SplittableRandom(1));
    }

    private static List<Candidate> idlePrefill() {
        return List.of(new Candidate(engine("p", 0, 0, 0), 0));
    }

    @ParameterizedTest
    @CsvSource({"0, 0, a", "0, 99, a", "100, 0, b", "120, 99, b", "30, 64, a"})
    void weighsCacheAgainstBacklog(long backlogOfA, int cachedAtA, String expected) {
        List<Candidate> prefill =
                List.of(
                        new Candidate(engine("a", 0, backlogOfA, 0), cachedAtA),
                        new Candidate(engine("b", 0, 10 * Long.signum(backlogOfA), 0), 0));
        if (backlogOfA == 0 && cachedAtA == 0) {
            prefill = prefill.subList(0, 1);
        }
        Decision decision = decide(0, 0, prefill, engine("d", 0, 0, 0));
        assertThat(((Decision.Place) decision).prefill()).isEqualTo(expected);
    }

    @ParameterizedTest
    @CsvSource({
        "0, 0, 0, 500000, a",
        "90000, 0, 0, 0, b",
        "10000, 20000, 0, 0, a",
        "0, 0, 500000, 0, b"
    })
    void choosesDecodeByMemoryAndLink(
            long takenA, long takenB, long linkA, long linkB, String expected) {
        Decision decision =
                decide(
                        0,
                        0,
                        idlePrefill(),
                        engine("a", takenA, 0, linkA),
                        engine("b", takenB, 0, linkB));
        assertThat(((Decision.Place) decision).decode()).isEqualTo(expected);
    }

    /** No prefill may start whose decode has no place. */
    @ParameterizedTest
    @ValueSource(longs = {85_001, 100_000})
    void waitsRatherThanPrefillWithoutDecode(long taken) {
        assertThat(decide(0, 0, idlePrefill(), engine("a", taken, 0, 0)))
                .isEqualTo(new Decision.Wait(Decision.WaitReason.NO_DECODE));
    }

    @Test
    void refusesWhatNoEngineCouldHold() {
        UpstreamView small = new UpstreamView("d", "z", 1, true, 0, 0, 0, 14_999, 0, 0, 0, 1, 1, 0);
        assertThat(((Decision.Refuse) decide(0, 0, idlePrefill(), small)).reason())
                .isEqualTo(Decision.RefuseReason.TOO_LARGE);
    }

    @ParameterizedTest
    @CsvSource({"111, 0, true", "109, 0, false", "200, 50, true", "200, 150, false"})
    void refusesWhatWouldComeTooLate(long boundMillis, long waitedMillis, boolean placed) {
        Decision decision = decide(boundMillis, waitedMillis, idlePrefill(), engine("d", 0, 0, 0));
        assertThat(decision instanceof Decision.Place).isEqualTo(placed);
        if (!placed) {
            assertThat(((Decision.Refuse) decision).reason())
                    .isEqualTo(Decision.RefuseReason.TOO_LATE);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"orchidmount", "round-robin", "least-load"})
    void noPolicyTakesUnavailableEngines(String name) {
        UpstreamView gone = engine("gone", "z", false, 0, 0, 0);
        UpstreamView here = engine("here", "z", true, 50_000, 500, 500);
        List<Candidate> both = List.of(new Candidate(gone, 0), new Candidate(here, 0));
        RequestInfo request = new RequestInfo("r", "m", 100, 50, 15_000, 10_000, 0, 0);
        for (int turn = 0; turn < 5; turn++) {
            DecisionInput input = new DecisionInput(request, both, both, "z", turn, 0);
            Decision.Place place =
                    (Decision.Place)
                            Policies.byName(name).decide(input, new SplittableRandom(turn));
            assertThat(place.prefill()).isEqualTo("here");
            assertThat(place.decode()).isEqualTo("here");
        }
        DecisionInput none =
                new DecisionInput(request, both.subList(0, 1), both.subList(0, 1), "z", 0, 0);
        assertThat(Policies.byName(name).decide(none, new SplittableRandom(1)))
                .isInstanceOf(Decision.Wait.class);
    }

    @ParameterizedTest
    @CsvSource({"0, 1, 0", "255, 64, 0", "256, 64, 1", "1000, 250, 3"})
    void promptIsCutIntoBlocks(int bytes, int tokens, int blocks) {
        PromptBlocks cut = PromptBlocks.of("x".repeat(bytes));
        assertThat(cut.tokens()).isEqualTo(tokens);
        assertThat(cut.hashes()).hasLength(blocks);
        PromptBlocks longer = PromptBlocks.of("x".repeat(bytes) + "y".repeat(300));
        assertThat(Arrays.copyOf(longer.hashes(), blocks)).isEqualTo(cut.hashes());
    }
}
