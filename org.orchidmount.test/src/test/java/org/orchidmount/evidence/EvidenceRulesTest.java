/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.evidence;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.orchidmount.evidence.UpstreamEvidence.Witness;
import org.orchidmount.membership.Incarnation;

/** Tests {@code EjectionRule} and {@code SlownessRule}. */
final class EvidenceRulesTest {
    private static final long SECOND = 1_000_000_000L;

    private static UpstreamEvidence evidence(
            String id, String witnesses, long successAgeMillis, double failureShare) {
        List<Witness> list = new ArrayList<>();
        for (String witness : witnesses == null ? new String[0] : witnesses.split(" ")) {
            String[] parts = witness.split("/");
            list.add(new Witness(parts[0], parts[1], Long.parseLong(parts[2])));
        }
        return new UpstreamEvidence(
                Incarnation.startedAt(id, 1), list, successAgeMillis, failureShare, 0, 0);
    }

    /** Guards against an ejection by one entry or zone, and against a missing one. */
    @ParameterizedTest
    @CsvSource(
            nullValues = "-",
            value = {
                // witnesses as name/zone/age, age of the success, share, zones, ejected
                "n1/a/100 n2/b/2000, -1, 1, 3, true",
                "n1/a/100 n2/b/2000, 5000, 0.05, 3, true",
                "n1/a/100, -1, 1, 3, false",
                "n1/a/100 n2/a/200, -1, 1, 3, false",
                "n1/a/100 n2/a/200, -1, 1, 1, true",
                "n1/a/100 n2/b/3100, -1, 0.05, 3, false",
                // A success after the failures of one of them.
                "n1/a/100 n2/b/2000, 1500, 0.05, 3, false",
                // Successes of the last 600 ms may not have been reported.
                "n1/a/100 n2/b/200, 500, 0.05, 3, false",
                // It fails some requests only.
                "n1/a/100 n2/b/200, 5000, 0.2, 3, false",
                "n1/a/100 n2/b/200 n3/a/300, 5000, 0.2, 3, true",
                "n1/a/2900 n2/b/6000 n3/a/9000, -1, 0.2, 3, true",
                "n1/a/3100 n2/b/6000 n3/a/9000, -1, 0.2, 3, false",
                // The share, whatever the age.
                "n1/a/9000 n2/a/9000 n3/a/9000 n4/a/9000, -1, 0.5, 3, true",
                "n1/a/9000 n2/a/9000 n3/a/9000 n4/a/9000, 8000, 0.5, 3, false",
                "n1/a/9000 n2/a/9000 n3/a/9000 n4/a/9000, -1, 0.49, 3, false",
                "n1/a/9000 n2/a/9000 n3/a/9000, -1, 0.9, 3, false",
                "-, -1, 1, 3, false",
            })
    void anUpstreamFailsIfEntriesOfTwoZonesAgree(
            String witnesses, long successAgeMillis, double share, int zones, boolean ejected) {
        UpstreamEvidence evidence = evidence("e", witnesses, successAgeMillis, share);
        assertThat(EjectionRule.isFailing(evidence, 0, zones)).isEqualTo(ejected);
    }

    /** Guards against taking the interval between two digests for the end of the successes. */
    @ParameterizedTest
    @CsvSource({"0, true", "400, true", "401, false", "1100, false"})
    void aSuccessMayHaveBeenReportedSinceTheDigest(long digestAgeMillis, boolean ejected) {
        UpstreamEvidence evidence = evidence("e", "n1/a/100 n2/b/200", 1000, 0.05);
        assertThat(EjectionRule.isFailing(evidence, digestAgeMillis, 3)).isEqualTo(ejected);
    }

    /** Guards against a constant ejection, and against one that is too long to notice recovery. */
    @Test
    void anEjectionDoublesUpToEightSeconds() {
        UpstreamEvidence failing = evidence("e", "n1/a/0 n2/b/0", UpstreamEvidence.NEVER, 1);
        Ejection ejection = Ejection.NONE;
        long nowNanos = SECOND;
        for (long seconds : new long[] {2, 4, 8, 8}) {
            ejection = EjectionRule.next(ejection, failing, 0, 3, nowNanos);
            assertThat(ejection.untilNanos() - nowNanos).isEqualTo(seconds * SECOND);
            assertThat(EjectionRule.next(ejection, failing, 0, 3, ejection.untilNanos() - 1))
                    .isEqualTo(ejection);
            nowNanos = ejection.untilNanos() + SECOND;
        }
    }

    /** Guards against a success that was only reported late ending an ejection. */
    @ParameterizedTest
    @CsvSource({"2400, 0", "2401, 1", "-1, 1"})
    void aSuccessEndsAnEjection(long successAgeMillis, int count) {
        Ejection ejection = new Ejection(1, SECOND, 3 * SECOND);
        UpstreamEvidence evidence = evidence("e", "n1/a/3000 n2/b/3000", successAgeMillis, 0.05);
        long nowNanos = 4 * SECOND;
        assertThat(EjectionRule.next(ejection, evidence, 0, 3, nowNanos).count()).isEqualTo(count);
    }

    /** Guards against old failures, or one that preceded the probe, counting as its result. */
    @ParameterizedTest
    @CsvSource({"900, 2", "1100, 1"})
    void oneFailureAfterTheEndEjectsAgain(long failureAgeMillis, int count) {
        Ejection ejection = new Ejection(1, SECOND, 3 * SECOND);
        UpstreamEvidence evidence = evidence("e", "n1/a/" + failureAgeMillis, -1, 1);
        long nowNanos = 4 * SECOND;
        assertThat(EjectionRule.next(ejection, evidence, 0, 3, nowNanos).count()).isEqualTo(count);
    }

    /** Guards against all entries probing at once. */
    @Test
    void theNewestWitnessProbesFirstAndTheOthersOneByOne() {
        Ejection ejection = new Ejection(1, SECOND, 3 * SECOND);
        UpstreamEvidence evidence = evidence("e", "n1/a/2500 n2/b/2700", -1, 1);
        assertThat(EjectionRule.mayProbe(ejection, evidence, "n1", 3 * SECOND - 1)).isFalse();
        assertThat(EjectionRule.mayProbe(ejection, evidence, "n1", 3 * SECOND)).isTrue();
        int[] probing = new int[5];
        for (int i = 0; i < probing.length; i++) {
            for (int entry = 2; entry < 102; entry++) {
                long nowNanos = (3 + i) * SECOND;
                if (EjectionRule.mayProbe(ejection, evidence, "n" + entry, nowNanos)) {
                    probing[i]++;
                }
            }
        }
        assertThat(probing[0]).isEqualTo(0);
        assertThat(probing[1]).isAtMost(1);
        assertThat(probing[2]).isGreaterThan(30);
        assertThat(probing[2]).isLessThan(70);
        assertThat(probing[3]).isEqualTo(100);
    }

    /** Guards against taking a whole service out of service. */
    @ParameterizedTest
    @CsvSource({"1, ''", "2, e3", "3, e3", "4, e3 e1", "5, e3 e1", "6, e3 e1 e2", "9, e3 e1 e2 e4"})
    void atMostHalfAreEjectedTheWorstFirst(int available, String ejected) {
        List<UpstreamEvidence> failing =
                List.of(
                        evidence("e1", "n1/a/1 n2/b/1", UpstreamEvidence.NEVER, 1),
                        evidence("e2", "n1/a/1 n2/b/1", 9000, 1),
                        evidence("e3", "n1/a/1 n2/b/1 n3/c/1", 100, 1),
                        evidence("e4", "n1/a/1", UpstreamEvidence.NEVER, 1));
        Set<String> expected = ejected.isEmpty() ? Set.of() : Set.of(ejected.split(" "));
        assertThat(EjectionRule.withinLimit(failing, available)).isEqualTo(expected);
    }

    /** Guards against one delayed output making an engine slow, and against unbounded factors. */
    @ParameterizedTest
    @CsvSource({
        "2, 0, 1",
        "2, 1, 1.149",
        "2, 4, 1.414",
        "2, 100, 1.947",
        "9, 99, 4",
        "0.1, 99, 0.4"
    })
    void slownessNeedsSeveralMeasurements(double ratio, double weight, double slowness) {
        assertThat(SlownessRule.slowness(Math.log(ratio), weight)).isWithin(1e-3).of(slowness);
    }

    /** Guards against a measurement without a valid time. */
    @ParameterizedTest
    @CsvSource({
        "200, 100, 0.693",
        "900, 100, 1.386",
        "1, 100, -1.386",
        "0, 100, 0",
        "9, 0, 0",
        "NaN, 1, 0"
    })
    void oneMeasurementIsBounded(double tookMillis, double nominalMillis, double log) {
        assertThat(SlownessRule.logRatio(tookMillis, nominalMillis)).isWithin(1e-3).of(log);
    }
}
