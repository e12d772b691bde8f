/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.evidence;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.orchidmount.evidence.UpstreamEvidence.Witness;
import org.orchidmount.membership.Incarnation;

/** Tests {@code EvidenceMerger}. */
final class EvidenceMergerTest {
    private static final Incarnation ENGINE = Incarnation.startedAt("e", 10);

    private final EvidenceMerger mMerger = new EvidenceMerger(0);

    private static long nanos(long millis) {
        return Duration.ofMillis(millis).toNanos();
    }

    private void merge(String entry, String zone, UpstreamObservations observed, long atMillis) {
        mMerger.merge(entry, zone, new EvidenceReport(List.of(observed)), nanos(atMillis));
    }

    private static UpstreamObservations failure(Incarnation upstream) {
        return new UpstreamObservations(upstream, 0, 1, 0, 0, 0);
    }

    private static UpstreamObservations success(Incarnation upstream, int count) {
        return new UpstreamObservations(upstream, count, 0, 0, 0, 0);
    }

    /** Guards against digests that crowd out the second zone, which an ejection needs. */
    @Test
    void witnessesAreBoundedAndOfDifferentZones() {
        merge("n9", "b", failure(ENGINE), 0);
        for (int i = 0; i < 6; i++) {
            merge("n" + i, "a", failure(ENGINE), 100 + i);
        }
        assertThat(mMerger.hasNewFailures()).isTrue();
        UpstreamEvidence evidence = mMerger.digest(nanos(200)).get().upstreams().getFirst();
        assertThat(evidence.witnesses())
                .containsExactly(
                        new Witness("n5", "a", 95),
                        new Witness("n4", "a", 96),
                        new Witness("n3", "a", 97),
                        new Witness("n9", "b", 200))
                .inOrder();
        assertThat(evidence.successAgeMillis()).isEqualTo(UpstreamEvidence.NEVER);
        assertThat(evidence.failureShare()).isEqualTo(1);
        assertThat(mMerger.hasNewFailures()).isFalse();
        assertThat(mMerger.digest(nanos(300))).isEmpty();
    }

    /** Guards against one entry outweighing all others. */
    @Test
    void aReportCountsAsAtMostSixteenRequests() {
        merge("n1", "a", success(Incarnation.startedAt("f", 1), 2_000_000), 0);
        merge("n1", "a", new UpstreamObservations(ENGINE, 0, 1_000_000, 0, 0, 0), 0);
        for (int i = 0; i < 9; i++) {
            merge("n2", "a", success(ENGINE, 16), 0);
        }
        UpstreamEvidence evidence = mMerger.digest(0).get().upstreams().getFirst();
        assertThat(evidence.failureShare()).isWithin(1e-6).of(0.1);
    }

    /** Guards against an entry with faulty links, which sees every upstream fail, as a witness. */
    @Test
    void anEntryForWhichMostRequestsFailIsNoWitness() {
        merge("n1", "a", failure(ENGINE), 0);
        merge("n2", "b", failure(ENGINE), 0);
        assertThat(mMerger.digest(0).get().upstreams().getFirst().witnesses()).hasSize(2);
        merge("n1", "a", failure(Incarnation.startedAt("f", 1)), 0);
        merge("n1", "a", failure(Incarnation.startedAt("g", 1)), 0);
        List<UpstreamEvidence> changed = mMerger.digest(0).get().upstreams();
        assertThat(changed.stream().map(e -> e.upstream().id())).containsExactly("e", "f");
        for (UpstreamEvidence evidence : changed) {
            assertThat(evidence.witnesses().stream().map(Witness::instance)).doesNotContain("n1");
        }
        merge("n1", "a", success(Incarnation.startedAt("f", 1), 9), 0);
        merge("n1", "a", failure(ENGINE), 0);
        assertThat(mMerger.digest(0).get().upstreams().getFirst().witnesses()).hasSize(2);
    }

    /** Guards against invalid numbers from a faulty entry. */
    @ParameterizedTest
    @CsvSource({"-5, -5, NaN, 1", "0, -2147483648, Infinity, 3", "-1, 0, 5, -1", "0, 0, 1e300, 1"})
    void invalidNumbersDoNotSpread(int successes, int failures, double logSum, int count) {
        merge(
                "n1",
                "a",
                new UpstreamObservations(ENGINE, successes, failures, 0, logSum, count),
                0);
        merge("n1", "a", failure(ENGINE), 0);
        UpstreamEvidence evidence = mMerger.digest(0).get().upstreams().getFirst();
        assertThat(evidence.failureShare()).isEqualTo(1);
        assertThat(Math.abs(evidence.meanLogSlowness())).isAtMost(Math.log(4));
    }

    /** Guards against slowness that outlives its cause. */
    @Test
    void slownessIsAveragedAndDecays() {
        merge("n1", "a", new UpstreamObservations(ENGINE, 0, 0, 0, 2, 2), 0);
        merge("n2", "b", new UpstreamObservations(ENGINE, 0, 0, 0, 0, 2), 20_000);
        UpstreamEvidence evidence = mMerger.digest(nanos(20_000)).get().upstreams().getFirst();
        assertThat(evidence.slownessWeight()).isWithin(1e-6).of(3);
        assertThat(evidence.meanLogSlowness()).isWithin(1e-6).of(1 / 3.0);
    }

    /** Guards against digests in a site without failures that carry nothing of use. */
    @Test
    void aSuccessIsNewsOnlyAfterAFailure() {
        merge("n1", "a", success(ENGINE, 1), 0);
        assertThat(mMerger.digest(0)).isEmpty();
        merge("n1", "a", failure(ENGINE), 1000);
        assertThat(mMerger.digest(nanos(1000))).isPresent();
        merge("n2", "a", success(ENGINE, 1), 2000);
        UpstreamEvidence evidence = mMerger.digest(nanos(2500)).get().upstreams().getFirst();
        assertThat(evidence.successAgeMillis()).isEqualTo(500);
        assertThat(evidence.witnesses()).containsExactly(new Witness("n1", "a", 1500));
    }

    /** Guards against a restarted upstream inheriting the failures of its predecessor. */
    @Test
    void evidenceEndsWithTheIncarnation() {
        merge("n1", "a", failure(ENGINE), 0);
        mMerger.onRegistration(Incarnation.startedAt("e", 11));
        assertThat(mMerger.digest(0)).isEmpty();
        merge("n3", "a", failure(ENGINE), 0);
        assertThat(mMerger.digest(0)).isEmpty();
        merge("n4", "a", failure(Incarnation.startedAt("e", 12)), 0);
        merge("n2", "b", failure(Incarnation.startedAt("e", 11)), 0);
        UpstreamEvidence evidence = mMerger.digest(0).get().upstreams().getFirst();
        assertThat(evidence.upstream()).isEqualTo(Incarnation.startedAt("e", 12));
        assertThat(evidence.witnesses()).hasSize(1);
    }

    /** Guards against evidence and memory that are never released. */
    @Test
    void whatIsNotReportedIsForgotten() {
        merge("n1", "a", failure(ENGINE), 0);
        merge("n1", "a", success(Incarnation.startedAt("f", 1), 1), 60_001);
        assertThat(mMerger.digest(nanos(60_001))).isEmpty();
    }

    /** Guards against digests above their bound, and upstreams that are never in one. */
    @Test
    void digestsAreBoundedAndTakeTurns() {
        List<UpstreamObservations> slow = new ArrayList<>();
        IntStream.range(0, 64)
                .mapToObj(i -> Incarnation.startedAt("s" + i, 1))
                .forEach(id -> slow.add(new UpstreamObservations(id, 0, 0, 0, 1, 1)));
        mMerger.merge("n1", "a", new EvidenceReport(slow), 0);
        merge("n1", "a", failure(ENGINE), 0);
        List<UpstreamEvidence> first = mMerger.digest(0).get().upstreams();
        assertThat(first).hasSize(EvidenceDigest.MAX_UPSTREAMS);
        assertThat(first.getFirst().upstream()).isEqualTo(ENGINE);
        mMerger.merge("n1", "a", new EvidenceReport(slow), 0);
        assertThat(mMerger.digest(0).get().upstreams().getFirst().upstream().id()).isEqualTo("s63");
    }
}
