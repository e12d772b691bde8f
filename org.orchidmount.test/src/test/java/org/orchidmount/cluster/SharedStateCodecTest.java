/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
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
 * Tests {@code SharedStateCodec}. That frames come back as they were is tested by {@code
 * ClusterCodecTest}, their bytes by {@code ControlPinTest}.
 */
final class SharedStateCodecTest {
    private static final Incarnation STARTED = Incarnation.startedAt("i-1", 1_700_000_000_000L);
    private static final Incarnation UNKNOWN_START = Incarnation.ofUnknownStart("i-2");

    /** One message of each type, each with elements of both kinds of incarnations. */
    static List<ClusterMessage> messages() {
        return List.of(
                new EvidenceReportMessage(
                        new EvidenceReport(
                                List.of(
                                        new UpstreamObservations(STARTED, 7, 2, 1, -1.5, 6),
                                        new UpstreamObservations(UNKNOWN_START, 0, 0, 3, 0, 0)))),
                new EvidenceDigestMessage(
                        new EvidenceDigest(
                                List.of(
                                        evidence(
                                                STARTED,
                                                new Witness("front-1", "zone-a", 120),
                                                new Witness("front-2", "", 2_900)),
                                        evidence(UNKNOWN_START)))),
                new WaitingRequestsMessage(
                        List.of(
                                waiting("r-1", false),
                                new WaitingRequest("r-2", "s", "", 3, 0, 0, 0, -20, true))));
    }

    private static UpstreamEvidence evidence(Incarnation upstream, Witness... witnesses) {
        return new UpstreamEvidence(
                upstream, List.of(witnesses), UpstreamEvidence.NEVER, 0.25, 0.5, 12.75);
    }

    private static WaitingRequest waiting(String id, boolean ended) {
        return new WaitingRequest(id, "s", "account-1", 0, 5_000, 4_900, 120, 680, ended);
    }

    @Test
    void numbersBeyondTheBoundsOfAFrameAreCutOff() throws IOException {
        List<UpstreamObservations> observations =
                IntStream.range(0, 70)
                        .mapToObj(i -> new UpstreamObservations(engine(i), 1, 0, 0, 0, 0))
                        .toList();
        assertThat(sent(new EvidenceReportMessage(new EvidenceReport(observations))))
                .isEqualTo(
                        new EvidenceReportMessage(new EvidenceReport(observations.subList(0, 64))));
        List<UpstreamEvidence> upstreams =
                IntStream.range(0, 70).mapToObj(i -> evidence(engine(i))).toList();
        assertThat(sent(new EvidenceDigestMessage(new EvidenceDigest(upstreams))))
                .isEqualTo(new EvidenceDigestMessage(new EvidenceDigest(upstreams.subList(0, 64))));
        List<WaitingRequest> requests =
                IntStream.range(0, 70).mapToObj(i -> waiting("r-" + i, false)).toList();
        assertThat(sent(new WaitingRequestsMessage(requests)))
                .isEqualTo(new WaitingRequestsMessage(requests.subList(0, 64)));
    }

    @Test
    void witnessesBeyondTheBoundAreCutOff() throws IOException {
        Witness[] witnesses =
                IntStream.range(0, 6)
                        .mapToObj(i -> new Witness("front-" + i, "zone-a", i))
                        .toArray(Witness[]::new);
        EvidenceDigestMessage received =
                (EvidenceDigestMessage)
                        sent(
                                new EvidenceDigestMessage(
                                        new EvidenceDigest(List.of(evidence(STARTED, witnesses)))));
        assertThat(received.digest().upstreams().getFirst().witnesses())
                .containsExactlyElementsIn(List.of(witnesses).subList(0, 4))
                .inOrder();
    }

    private static ClusterMessage sent(ClusterMessage message) throws IOException {
        return ClusterCodec.decode(ClusterCodec.encode(message));
    }

    private static Incarnation engine(int number) {
        return Incarnation.startedAt("i-" + number, number);
    }

    /** Guards against a peer that makes this instance hold more than the bound. */
    @Test
    void elementsBeyondTheBoundAreNotReadAndCounted() throws IOException {
        byte[] element = element(out -> packWaiting(out, "r-1", 5_000));
        List<String> rejections = new ArrayList<>();
        ClusterMessage read =
                ClusterCodec.decode(frame(17, Collections.nCopies(100, element)), rejections::add);
        assertThat(((WaitingRequestsMessage) read).requests()).hasSize(64);
        assertThat(rejections).hasSize(1);
        assertThat(rejections.getFirst()).contains("36");
    }

    /** Elements that a peer of another build, or a faulty one, might send. */
    static List<byte[]> malformedWaitingRequests() throws IOException {
        return List.of(
                new byte[0],
                new byte[] {(byte) 0xc1},
                element(out -> out.packString("cut off")),
                element(out -> out.packInt(7)),
                element(out -> packWaiting(out, "", 5_000)),
                element(out -> packWaiting(out, "negative prompt", -1)),
                element(out -> packWaiting(out, "x".repeat(5_000), 5_000)));
    }

    /** Guards against one bad element that hides the waiting requests beside it. */
    @ParameterizedTest
    @MethodSource("malformedWaitingRequests")
    void aMalformedElementIsSkippedAndCounted(byte[] malformed) throws IOException {
        byte[] good = element(out -> packWaiting(out, "r-1", 5_000));
        List<String> rejections = new ArrayList<>();
        ClusterMessage read =
                ClusterCodec.decode(frame(17, List.of(good, malformed, good)), rejections::add);
        assertThat(read)
                .isEqualTo(
                        new WaitingRequestsMessage(
                                List.of(waiting("r-1", false), waiting("r-1", false))));
        assertThat(rejections).hasSize(1);
    }

    /** Guards against an element with a wrong type, which would shift those behind it. */
    @Test
    void anElementThatIsNotBinaryIsSkippedWhole() throws IOException {
        byte[] good = element(out -> packWaiting(out, "r-1", 5_000));
        List<String> rejections = new ArrayList<>();
        try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            out.packInt(17).packArrayHeader(2);
            out.packArrayHeader(2).packString("a").packArrayHeader(1).packNil();
            out.packBinaryHeader(good.length).writePayload(good);
            ClusterMessage read = ClusterCodec.decode(out.toByteArray(), rejections::add);
            assertThat(((WaitingRequestsMessage) read).requests()).hasSize(1);
        }
        assertThat(rejections).hasSize(1);
    }

    /** Guards against evidence that would poison a mean or an age at every instance. */
    @ParameterizedTest
    @ValueSource(doubles = {Double.NaN, Double.POSITIVE_INFINITY, 1e300})
    void observationsWithoutAFiniteSumAreSkipped(double sum) throws IOException {
        byte[] bad = element(out -> packObservations(out, 1, sum));
        byte[] good = element(out -> packObservations(out, 1, -1.5));
        byte[] negative = element(out -> packObservations(out, -1, 0));
        List<String> rejections = new ArrayList<>();
        ClusterMessage read =
                ClusterCodec.decode(frame(15, List.of(bad, negative, good)), rejections::add);
        assertThat(((EvidenceReportMessage) read).report().observations()).hasSize(1);
        assertThat(rejections).hasSize(2);
    }

    @ParameterizedTest
    @ValueSource(doubles = {-0.1, 1.1, Double.NaN})
    void evidenceWithAnImpossibleShareIsSkipped(double share) throws IOException {
        byte[] bad = element(out -> packEvidence(out, share, 5, 3));
        byte[] badAge = element(out -> packEvidence(out, 0.5, -2, 3));
        byte[] badWitness = element(out -> packEvidence(out, 0.5, 5, -1));
        byte[] good = element(out -> packEvidence(out, 0.5, 5, 3));
        List<String> rejections = new ArrayList<>();
        ClusterMessage read =
                ClusterCodec.decode(
                        frame(16, List.of(bad, badAge, badWitness, good)), rejections::add);
        assertThat(((EvidenceDigestMessage) read).digest().upstreams()).hasSize(1);
        assertThat(rejections).hasSize(3);
    }

    /** Fields that a later build adds to an element come last, and are ignored here. */
    @Test
    void fieldsOfLaterBuildsAreIgnored() throws IOException {
        byte[] later =
                element(
                        out -> {
                            packWaiting(out, "r-1", 5_000);
                            out.packString("a field of a later build");
                        });
        assertThat(ClusterCodec.decode(frame(17, List.of(later))))
                .isEqualTo(new WaitingRequestsMessage(List.of(waiting("r-1", false))));
    }

    @Test
    void aFrameThatIsCutOffIsRejected() {
        byte[] whole = ClusterCodec.encode(messages().getLast());
        for (int length = 1; length < whole.length; length++) {
            byte[] cut = Arrays.copyOf(whole, length);
            assertThrows(IOException.class, () -> ClusterCodec.decode(cut));
        }
    }

    private interface Fields {
        void pack(MessageBufferPacker out) throws IOException;
    }

    private static byte[] element(Fields fields) throws IOException {
        try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            fields.pack(out);
            return out.toByteArray();
        }
    }

    private static byte[] frame(int type, List<byte[]> elements) throws IOException {
        try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            out.packInt(type).packArrayHeader(elements.size());
            for (byte[] element : elements) {
                out.packBinaryHeader(element.length).writePayload(element);
            }
            return out.toByteArray();
        }
    }

    private static void packWaiting(MessageBufferPacker out, String id, int promptTokens)
            throws IOException {
        out.packString(id).packString("s").packString("account-1").packInt(0);
        out.packInt(promptTokens).packInt(4_900).packLong(120).packLong(680).packBoolean(false);
    }

    private static void packObservations(MessageBufferPacker out, int successes, double sum)
            throws IOException {
        out.packString("i-1").packNil().packInt(successes).packInt(0).packInt(0);
        out.packDouble(sum).packInt(1);
    }

    private static void packEvidence(
            MessageBufferPacker out, double share, long successAgeMillis, long witnessAgeMillis)
            throws IOException {
        out.packString("i-1").packNil().packLong(successAgeMillis).packDouble(share);
        out.packDouble(0).packDouble(1).packArrayHeader(1);
        out.packString("front-1").packString("zone-a").packLong(witnessAgeMillis);
    }
}
