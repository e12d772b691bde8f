/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.evidence;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.orchidmount.evidence.EvidenceSite.Engine;
import org.orchidmount.evidence.EvidenceSite.Entry;

/**
 * Tests what a site concludes together from patterns of failures. Seeds are fixed; each pattern
 * runs with the sizes and the request rates of the two deployments and of a larger site.
 */
final class EvidencePatternsTest {
    private static final Duration WARM_UP = Duration.ofSeconds(30);

    private static EvidenceSite site(int entries, double requestsPerSecond, long seed) {
        EvidenceSite site = new EvidenceSite(entries, 3, entries / 3, requestsPerSecond, seed);
        site.run(WARM_UP);
        return site;
    }

    /** Guards against each entry having to find a dark engine at the expense of its own callers. */
    @ParameterizedTest
    @CsvSource({"67, 17, 1", "67, 17, 2", "90, 25, 3", "90, 25, 4", "300, 500, 5"})
    void aFifthDarkIsKnownToAllWithinTwoSecondsOfTheThirdWitness(
            int entries, double requestsPerSecond, long seed) {
        EvidenceSite site = site(entries, requestsPerSecond, seed);
        List<Engine> dark = site.engines().subList(0, site.engines().size() / 5);
        dark.forEach(engine -> engine.mIsDark = true);
        site.run(Duration.ofSeconds(20));
        site.entries().forEach(Entry::refresh);
        int known = 0;
        for (Engine engine : dark) {
            long thirdNanos = thirdWitnessNanos(engine);
            if (thirdNanos < 0) {
                continue;
            }
            known++;
            for (Entry entry : site.entries()) {
                long knownNanos = entry.mEjectedNanos.getOrDefault(engine.mId.id(), Long.MAX_VALUE);
                assertWithMessage(
                                "%s at %s, seen by %s",
                                engine.mId, entry.mName, engine.mWitnessedNanos)
                        .that(knownNanos - thirdNanos)
                        .isAtMost(Duration.ofSeconds(2).toNanos());
            }
        }
        assertThat(known).isAtLeast(dark.size() - 1);
        assertThat(site.correctShare()).isAtLeast(0.8);
    }

    /** Returns when three entries have seen it fail, in two availability zones; -1 if never. */
    private static long thirdWitnessNanos(Engine engine) {
        Set<Integer> zones = new HashSet<>();
        int witnesses = 0;
        List<Map.Entry<String, Long>> inOrder =
                engine.mWitnessedNanos.entrySet().stream()
                        .sorted(Map.Entry.comparingByValue())
                        .toList();
        for (Map.Entry<String, Long> witness : inOrder) {
            zones.add(Integer.parseInt(witness.getKey().substring(1)) % 3);
            witnesses++;
            if (witnesses >= 3 && zones.size() >= 2) {
                return witness.getValue();
            }
        }
        return -1;
    }

    /** Guards against dark engines costing as many tries in each second as in the first one. */
    @ParameterizedTest
    @CsvSource({"67, 17, 1", "90, 25, 2"})
    void darkEnginesCostFewTriesOnceTheyAreKnown(int entries, double requestsPerSecond, long seed) {
        EvidenceSite site = site(entries, requestsPerSecond, seed);
        site.engines().subList(0, site.engines().size() / 5).forEach(e -> e.mIsDark = true);
        site.run(Duration.ofSeconds(5));
        int tries = site.tries();
        int failed = site.failedTries();
        site.run(Duration.ofSeconds(60));
        double share = (site.failedTries() - failed) / (double) (site.tries() - tries);
        assertThat(share).isAtMost(0.08);
    }

    /** Guards against an entry whose own links fail taking engines out of service for others. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void anEntryThatIsCutOffEjectsNothingForOthers(long seed) {
        EvidenceSite site = site(67, 17, seed);
        site.entries().getFirst().mIsCut = true;
        site.run(Duration.ofSeconds(60));
        assertThat(site.falseEjections()).isEqualTo(0);
    }

    /** Guards against false reports of one entry ejecting engines that serve everybody else. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void anEntryThatReportsFalseFailuresEjectsNothing(long seed) {
        EvidenceSite site = site(67, 17, seed);
        site.entries().getFirst().mReportsFalseFailures = true;
        site.run(Duration.ofSeconds(60));
        assertThat(site.falseEjections()).isEqualTo(0);
    }

    /** Guards against losing an engine that serves four requests in five. */
    @ParameterizedTest
    @CsvSource({"67, 17, 1", "67, 17, 2", "90, 25, 3", "60, 200, 4"})
    void anEngineThatFailsOneInFiveStaysInServiceAndCostsMore(
            int entries, double requestsPerSecond, long seed) {
        EvidenceSite site = site(entries, requestsPerSecond, seed);
        Engine flaky = site.engines().getFirst();
        flaky.mFailureShare = 0.2;
        site.run(Duration.ofSeconds(60));
        UpstreamEvidenceView view = site.entries().getLast().mView;
        assertThat(site.falseEjections() / (double) entries).isAtMost(0.1);
        assertThat(view.failureMillis(flaky.mId.id())).isAtLeast(20.0);
    }

    /** Guards against ejecting engines that only pause. */
    @ParameterizedTest
    @CsvSource({"67, 17, 1", "67, 17, 2", "90, 25, 3"})
    void stallsOfSixHundredMillisecondsEjectHardlyEver(
            int entries, double requestsPerSecond, long seed) {
        EvidenceSite site = site(entries, requestsPerSecond, seed);
        int stalls = 100;
        for (int i = 0; i < stalls; i++) {
            Engine engine = site.engines().get(i % site.engines().size());
            site.after(
                    i * 600L,
                    () ->
                            engine.mStalledUntilNanos =
                                    site.nowNanos() + Duration.ofMillis(600).toNanos());
        }
        site.run(Duration.ofSeconds(65));
        assertThat(site.falseEjections() / (double) entries).isAtMost(0.05 * stalls);
    }

    /**
     * Guards against ejections of healthy engines where several faults meet: crashes, stalls,
     * entries of two zones without links, an entry that reports false failures, and an engine that
     * fails one in five.
     */
    @ParameterizedTest
    @CsvSource({"67, 17, 1", "67, 17, 2", "90, 25, 3", "90, 25, 4"})
    void eightOfTenEjectionsAreCorrectAmongAllFaults(
            int entries, double requestsPerSecond, long seed) {
        checkEjectionsAmongAllFaults(entries, requestsPerSecond, seed, 2_000);
    }

    /** The same with twice as many engines that pause. */
    @ParameterizedTest
    @CsvSource({"67, 17, 1", "67, 17, 2", "90, 25, 3", "90, 25, 4"})
    void eightOfTenEjectionsAreCorrectWithAStallEachSecond(
            int entries, double requestsPerSecond, long seed) {
        checkEjectionsAmongAllFaults(entries, requestsPerSecond, seed, 1_000);
    }

    private static void checkEjectionsAmongAllFaults(
            int entries, double requestsPerSecond, long seed, long stallIntervalMillis) {
        EvidenceSite site = site(entries, requestsPerSecond, seed);
        site.entries().get(0).mIsCut = true;
        site.entries().get(1).mIsCut = true;
        site.entries().get(2).mReportsFalseFailures = true;
        List<Engine> engines = site.engines();
        engines.getLast().mFailureShare = 0.2;
        for (int i = 0; i < 12; i++) {
            Engine crashing = engines.get(i);
            site.after(i * 5_000L, () -> crashing.mIsDark = true);
            site.after(i * 5_000L + 15_000, () -> crashing.mIsDark = false);
        }
        for (int i = 0; i < 70_000 / stallIntervalMillis; i++) {
            Engine stalling = engines.get(i * 7 % engines.size());
            site.after(
                    i * stallIntervalMillis,
                    () ->
                            stalling.mStalledUntilNanos =
                                    site.nowNanos() + Duration.ofMillis(600).toNanos());
        }
        site.run(Duration.ofSeconds(75));
        assertThat(site.trueEjections()).isAtLeast(5 * entries);
        assertThat(site.correctShare()).isAtLeast(0.8);
    }

    /** Guards against an engine that has recovered staying unused. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void anEngineThatRecoversIsInServiceAgain(long seed) {
        EvidenceSite site = site(67, 17, seed);
        Engine engine = site.engines().getFirst();
        engine.mIsDark = true;
        site.run(Duration.ofSeconds(20));
        engine.mIsDark = false;
        // At most 8 s of ejection, the wait for a probe, and a digest.
        site.run(Duration.ofSeconds(13));
        site.entries().forEach(Entry::refresh);
        assertThat(
                        site.entries().stream()
                                .filter(entry -> entry.mEjected.contains(engine.mId.id()))
                                .count())
                .isEqualTo(0);
    }

    /** Guards against slow engines counting as nominal at entries that seldom use them. */
    @ParameterizedTest
    @CsvSource({"67, 17, 1", "90, 25, 2"})
    void aQuarterAtHalfSpeedIsKnownToAll(int entries, double requestsPerSecond, long seed) {
        EvidenceSite site = site(entries, requestsPerSecond, seed);
        List<Engine> slow = site.engines().subList(0, site.engines().size() / 4);
        slow.forEach(engine -> engine.mSlowness = 2);
        site.run(Duration.ofSeconds(60));
        for (Entry entry : site.entries()) {
            for (Engine engine : site.engines()) {
                double slowness = entry.mView.slowness(engine.mId.id());
                if (slow.contains(engine)) {
                    assertThat(slowness).isWithin(0.5).of(1.75);
                } else {
                    assertThat(slowness).isWithin(0.2).of(1);
                }
            }
        }
        assertThat(site.falseEjections() + site.trueEjections()).isEqualTo(0);
    }
}
