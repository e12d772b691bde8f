/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import static com.google.common.truth.Truth.assertThat;

import java.util.Collections;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.orchidmount.cluster.ClusterMessage.EvidenceDigestMessage;
import org.orchidmount.cluster.ClusterMessage.EvidenceReportMessage;
import org.orchidmount.cluster.ClusterMessage.WaitingRequestsMessage;
import org.orchidmount.evidence.EvidenceDigest;
import org.orchidmount.evidence.EvidenceReport;
import org.orchidmount.evidence.UpstreamEvidence;
import org.orchidmount.evidence.UpstreamEvidence.Witness;
import org.orchidmount.evidence.UpstreamObservations;
import org.orchidmount.membership.Incarnation;
import org.orchidmount.waiting.WaitingRequest;

/**
 * Computes the control traffic of shared state from the sizes of encoded frames, without TCP and IP
 * headers, and prints it; the figures are in {@code docs/design/shared-state-messages.md}.
 */
final class SharedStateTrafficTest {
    private static final int ZONES = 3;
    private static final int BOUND_BYTES_PER_SECOND = 7_000;

    /** Reports, announcements of a request in each second, and batches that a voter can send. */
    private static final double REPORTS_PER_SECOND = 2;

    private static final double ANNOUNCEMENTS_PER_SECOND = 4;
    private static final double BATCH_SECONDS = 0.008;

    /** Load of a site; rates are those of one entry. */
    private record Load(
            int entries,
            int upstreams,
            int votersInZone,
            double observationsPerSecond,
            double waitingPerSecond,
            double waitSeconds,
            double failingShare) {

        /** Upstreams that an entry observes between two reports. */
        int observed() {
            return distinct(
                    observationsPerSecond / REPORTS_PER_SECOND, EvidenceReport.MAX_UPSTREAMS);
        }

        /** Upstreams of which one voter is told within a second. */
        int changed() {
            return distinct(
                    observationsPerSecond * entries / votersInZone, EvidenceDigest.MAX_UPSTREAMS);
        }

        private int distinct(double observations, int max) {
            double distinct = upstreams * (1 - Math.pow(1 - 1.0 / upstreams, observations));
            return (int) Math.min(max, Math.ceil(distinct));
        }

        /** Announcements of all waiting requests of an entry, the first and the end included. */
        double announcementsPerSecond() {
            return waitingPerSecond * (2 + ANNOUNCEMENTS_PER_SECOND * waitSeconds);
        }
    }

    static List<Arguments> loads() {
        return List.of(
                Arguments.of("67 calm", new Load(67, 32, 1, 1.5, 0.03, 0.5, 0), false),
                Arguments.of("67 burst", new Load(67, 32, 1, 2, 0.25, 1.2, 0), true),
                Arguments.of("67 fifth dark", new Load(67, 32, 1, 1.5, 0.1, 1.2, 0.2), true),
                Arguments.of("360 calm", new Load(360, 7_800, 2, 31, 0.03, 0.5, 0), true),
                Arguments.of("360 burst", new Load(360, 7_800, 2, 31, 0.25, 1.2, 0), true),
                Arguments.of("360 fifth dark", new Load(360, 7_800, 2, 31, 0.1, 1.2, 0.2), true));
    }

    /**
     * Guards against frames that grow beyond what the page states, which names the loads at which
     * an entry receives more than the bound of 7 KB/s.
     */
    @ParameterizedTest
    @MethodSource("loads")
    void trafficOfAnEntry(String name, Load load, boolean exceedsBound) {
        int reportBytes = size(report(load.observed()));
        double sentReports = ZONES * REPORTS_PER_SECOND;
        double sentWaiting = ZONES * load.announcementsPerSecond();
        double sentBytes = sentReports * reportBytes + sentWaiting * size(waiting(1));

        double announced = load.entries() * load.announcementsPerSecond();
        double batches = announced / (1 + announced * BATCH_SECONDS);
        double waitingBytes = announced * (size(waiting(2)) - size(waiting(1))) + batches * 7;
        int digestBytes = size(digest(load.changed(), load.failingShare()));
        // Without new failures one a second; with new failures, as many as DigestPacer allows.
        double mostDigestsPerSecond = load.failingShare() > 0 ? 50 : 1;
        double digestsPerSecond =
                Math.min(mostDigestsPerSecond, (double) BOUND_BYTES_PER_SECOND / digestBytes)
                        * load.votersInZone();
        double digestBytesPerSecond = digestBytes * digestsPerSecond;
        double receivedBytes = waitingBytes + digestBytesPerSecond;

        System.out.printf(
                "%-25s sent: %.1f messages/s %.0f bytes/s; received: digests %.1f/s %.0f bytes/s,"
                        + " waiting %.1f/s %.0f bytes/s, together %.0f bytes/s; a voter receives"
                        + " %.0f messages/s %.0f bytes/s%n",
                name,
                sentReports + sentWaiting,
                sentBytes,
                digestsPerSecond,
                digestBytesPerSecond,
                batches,
                waitingBytes,
                receivedBytes,
                load.entries() * (sentReports + sentWaiting) / ZONES / load.votersInZone(),
                load.entries() * sentBytes / ZONES / load.votersInZone());
        assertThat(sentBytes).isLessThan(BOUND_BYTES_PER_SECOND);
        assertThat(receivedBytes > BOUND_BYTES_PER_SECOND).isEqualTo(exceedsBound);
    }

    /** The size of an element and of the largest frames. */
    @ParameterizedTest
    @CsvSource({"0, 3500", "0.2, 4300", "1, 8000"})
    void theLargestDigestIsSmall(double failingShare, int maxBytes) {
        int bytes = size(digest(EvidenceDigest.MAX_UPSTREAMS, failingShare));
        System.out.printf(
                "digest of 64 upstreams, share %.1f with 4 witnesses: %d bytes; report of 64: %d;"
                        + " waiting requests: 1 in %d, 64 in %d bytes%n",
                failingShare,
                bytes,
                size(report(EvidenceReport.MAX_UPSTREAMS)),
                size(waiting(1)),
                size(waiting(SharedStateCodec.MAX_WAITING_REQUESTS)));
        assertThat(bytes).isAtMost(maxBytes);
    }

    private static int size(ClusterMessage message) {
        return new Frame(message).bytes().length;
    }

    private static EvidenceReportMessage report(int upstreams) {
        return new EvidenceReportMessage(
                new EvidenceReport(
                        IntStream.range(0, upstreams)
                                .mapToObj(i -> new UpstreamObservations(engine(i), 1, 0, 0, 0.3, 1))
                                .toList()));
    }

    private static EvidenceDigestMessage digest(int upstreams, double failingShare) {
        List<Witness> witnesses =
                Collections.nCopies(
                        UpstreamEvidence.MAX_WITNESSES, new Witness("front-123", "zone-1", 1_800));
        return new EvidenceDigestMessage(
                new EvidenceDigest(
                        IntStream.range(0, upstreams)
                                .mapToObj(
                                        i ->
                                                new UpstreamEvidence(
                                                        engine(i),
                                                        i < failingShare * upstreams
                                                                ? witnesses
                                                                : List.of(),
                                                        900,
                                                        0.1,
                                                        0.3,
                                                        5))
                                .toList()));
    }

    private static WaitingRequestsMessage waiting(int requests) {
        return new WaitingRequestsMessage(
                IntStream.range(0, requests)
                        .mapToObj(
                                i ->
                                        new WaitingRequest(
                                                "request-%08d".formatted(i),
                                                "service-1",
                                                "account-12",
                                                1,
                                                5_000,
                                                4_900,
                                                250,
                                                550,
                                                false))
                        .toList());
    }

    private static Incarnation engine(int number) {
        return Incarnation.startedAt("engine-%04d".formatted(number), 1_700_000_000_000L + number);
    }
}
