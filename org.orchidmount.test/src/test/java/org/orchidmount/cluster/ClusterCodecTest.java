/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.orchidmount.consensus.EntryId;
import org.orchidmount.consensus.GroupState;
import org.orchidmount.consensus.Member;
import org.orchidmount.consensus.ReplicaMessage;
import org.orchidmount.internal.http.ConnectionPath;
import org.orchidmount.internal.http.TunnelPeer;
import org.orchidmount.load.InFlightSequence;
import org.orchidmount.membership.Incarnation;
import org.orchidmount.membership.Registration;
import org.orchidmount.pacing.UpstreamLimit;
import org.orchidmount.quarantine.CrashRecord;
import org.orchidmount.quarantine.RequestFingerprint;
import org.orchidmount.quota.QuotaAnswer;
import org.orchidmount.quota.QuotaLimit;
import org.orchidmount.quota.QuotaRequest;
import org.orchidmount.retry.RetryAnswer;
import org.orchidmount.retry.RetryLimit;
import org.orchidmount.retry.RetryRequest;
import org.orchidmount.stream.StreamKey;
import org.orchidmount.stream.StreamOrigin;
import org.orchidmount.stream.StreamRecord;

/** Tests {@code ClusterCodec}. */
final class ClusterCodecTest {
    private static final Member A = new Member("a/first", "10.0.0.1:1", "10.0.0.1:2");
    private static final EntryId ENTRY = new EntryId(4, 9);
    private static final GroupState STATE =
            new GroupState(List.of(A), 12, "{\"version\":12}".getBytes());

    private static final CrashRecord CRASHES =
            new CrashRecord(
                    new RequestFingerprint("000102030405060708090a0b0c0d0e0f"), 2, 4, 3, 70);

    static List<ClusterMessage> messages() {
        List<ClusterMessage> messages = new ArrayList<>(earlierMessages());
        messages.add(
                new ClusterMessage.Greeting(
                        1,
                        "a",
                        "zone-a",
                        A,
                        Set.of(
                                Capability.CRASH_RECORDS,
                                Capability.UPSTREAM_LIMITS,
                                Capability.SHARED_STATE)));
        messages.addAll(SharedStateCodecTest.messages());
        messages.addAll(tunnelMessages());
        messages.add(
                new ClusterMessage.Registrations(
                        3,
                        List.of(
                                engine("i-1").withVersion(Optional.of("v1.1")),
                                startedEngine("i-2"))));
        messages.addAll(streamMessages());
        messages.addAll(retryMessages());
        return messages;
    }

    private static List<ClusterMessage> retryMessages() {
        RetryLimit limit = new RetryLimit(0.2, Duration.ofSeconds(10), 56);
        return List.of(
                new ClusterMessage.RetryRequestMessage(7, new RetryRequest("s", limit, 12, 2)),
                new ClusterMessage.RetryRequestMessage(0, new RetryRequest("s", limit, 3, 0)),
                new ClusterMessage.RetryReply(7, RetryAnswer.GRANTED, "10.0.0.1:1"),
                new ClusterMessage.RetryReply(8, RetryAnswer.exhausted(Duration.ofMillis(20)), ""),
                new ClusterMessage.RetryDemand(List.of("s", "t")));
    }

    private static List<ClusterMessage> streamMessages() {
        StreamRecord stream =
                new StreamRecord(
                        new StreamKey(17), new StreamOrigin("s", "v1"), Duration.ofSeconds(14));
        return List.of(
                new ClusterMessage.StreamRecords(List.of(stream)),
                new ClusterMessage.StreamRequest(7, stream.key()),
                new ClusterMessage.StreamReply(7, Optional.of(stream)),
                new ClusterMessage.StreamReply(7, Optional.empty()));
    }

    private static List<ClusterMessage> tunnelMessages() {
        TunnelPeer peer = new TunnelPeer("b", "zone-b", "10.0.0.2", 7_675, "0123abcd");
        return List.of(
                new ClusterMessage.Greeting(
                        1, "b", "zone-b", null, Capability.own(), Optional.of(peer)),
                new ClusterMessage.TunnelOffers(List.of(peer)),
                new ClusterMessage.PathReport(ConnectionPath.TUNNEL));
    }

    /** Messages as sent before entries shared state. */
    private static List<ClusterMessage> earlierMessages() {
        return List.of(
                new ClusterMessage.Greeting(1, "a", "zone-a", A),
                new ClusterMessage.Greeting(1, "a", "zone-a", null),
                new ClusterMessage.KeepAlive(),
                new ClusterMessage.Voters(List.of(A)),
                new ClusterMessage.TableNotice(5, true, 8),
                new ClusterMessage.TableRequest(),
                new ClusterMessage.Registrations(3, List.of(engine("i-1"))),
                new ClusterMessage.RegistrationsAck(3),
                new ClusterMessage.QuotaRequestMessage(
                        7,
                        new QuotaRequest(
                                "mill",
                                new QuotaLimit(12.5, 30, 4, Duration.ofSeconds(8)),
                                9,
                                3_200),
                        true),
                new ClusterMessage.QuotaReply(7, QuotaAnswer.GRANTED, ""),
                new ClusterMessage.QuotaReply(
                        7, QuotaAnswer.exceeded(Duration.ofMillis(1_250)), "10.0.0.1:1"),
                new ClusterMessage.QuotaReturn("mill", 3_200),
                new ClusterMessage.InFlightSequences(
                        List.of(sequence(engine("i-1").incarnation()))),
                replication(new ReplicaMessage.VoteRequest(5, "a/first", ENTRY, true)),
                replication(new ReplicaMessage.VoteReply(5, "a/first", true, false)),
                replication(new ReplicaMessage.Append(5, A, ENTRY, STATE, ENTRY, 8)),
                replication(new ReplicaMessage.Append(5, A, ENTRY, null, ENTRY, 8)),
                replication(new ReplicaMessage.AppendReply(5, "a/first", ENTRY, 8)),
                replication(new ReplicaMessage.Announce(5, A, ENTRY)),
                new ClusterMessage.Registrations(3, List.of(engine("i-1"), startedEngine("i-2"))),
                new ClusterMessage.InFlightSequences(
                        List.of(sequence(startedEngine("i-2").incarnation()))),
                new ClusterMessage.Greeting(1, "a", "zone-a", A, Set.of(Capability.CRASH_RECORDS)),
                new ClusterMessage.CrashRecords(List.of(CRASHES)),
                new ClusterMessage.Greeting(
                        1,
                        "a",
                        "zone-a",
                        A,
                        Set.of(Capability.CRASH_RECORDS, Capability.UPSTREAM_LIMITS)),
                new ClusterMessage.UpstreamLimitRecords(
                        List.of(
                                new UpstreamLimit(
                                        Incarnation.startedAt("i-2", 17),
                                        OptionalDouble.of(3.6),
                                        2,
                                        "e"),
                                new UpstreamLimit(
                                        Incarnation.ofUnknownStart("i-3"),
                                        OptionalDouble.empty(),
                                        5,
                                        "f"))));
    }

    private static Registration engine(String id) {
        return new Registration(
                id,
                "s",
                "10.0.0.9:80",
                "a",
                4,
                Registration.Stage.DECODE,
                Registration.State.DRAINING,
                7);
    }

    private static InFlightSequence sequence(Incarnation engine) {
        return new InFlightSequence(engine, "r-1", 5, 70, 99, 12, true);
    }

    private static Registration startedEngine(String id) {
        return engine(id).withIncarnation(Incarnation.startedAt(id, 1_700_000_000_000L));
    }

    private static ClusterMessage replication(ReplicaMessage message) {
        return new ClusterMessage.Replication(A, message);
    }

    @ParameterizedTest
    @MethodSource("messages")
    void messagesComeBackAsTheyWere(ClusterMessage message) throws IOException {
        assertThat(ClusterCodec.decode(ClusterCodec.encode(message))).isEqualTo(message);
    }

    @ParameterizedTest
    @MethodSource("messages")
    void garbledFramesAreRefusedAndNothingElse(ClusterMessage message) {
        SplittableRandom random = new SplittableRandom(3);
        byte[] whole = ClusterCodec.encode(message);
        for (int i = 0; i < 300; i++) {
            byte[] garbled = whole.clone();
            garbled[random.nextInt(garbled.length)] = (byte) random.nextInt();
            try {
                ClusterCodec.decode(garbled);
            } catch (IOException expected) {
                assertThat(expected).hasMessageThat().isNotEmpty();
            }
        }
    }

    @ParameterizedTest
    @MethodSource("messages")
    void framesThatAreGarbledCutOrMadeLongerAreReadOrRefused(ClusterMessage message) {
        SplittableRandom random = new SplittableRandom(11);
        byte[] whole = ClusterCodec.encode(message);
        for (int i = 0; i < 2_000; i++) {
            byte[] garbled = Arrays.copyOf(whole, random.nextInt(2 * whole.length + 1));
            for (int changes = random.nextInt(4); changes > 0 && garbled.length > 0; changes--) {
                garbled[random.nextInt(garbled.length)] = (byte) random.nextInt();
            }
            try {
                ClusterCodec.decode(garbled);
            } catch (IOException expected) {
                assertThat(expected).hasMessageThat().isNotEmpty();
            }
        }
    }

    @Test
    void anUnknownTypeIsRefused() {
        assertThrows(IOException.class, () -> ClusterCodec.decode(new byte[] {99}));
    }

    /** Starts come last, so an instance that does not know them reads a frame without them. */
    @Test
    void aFrameWithStartsBeginsAsOneWithout() {
        HexFormat hex = HexFormat.of();
        String without = hex.formatHex(encodeRegistration(engine("i-1")));
        String with = hex.formatHex(encodeRegistration(startedEngine("i-1")));
        assertThat(with).startsWith(without);
        assertThat(with).isNotEqualTo(without);
    }

    @ParameterizedTest
    @ValueSource(strings = {"90", "92c0c0", "91ff", "91a0", "91"})
    void startsThatDoNotFitTheirFrameAreRefused(String starts) {
        HexFormat hex = HexFormat.of();
        String frame = hex.formatHex(encodeRegistration(engine("i-1"))) + starts;
        assertThrows(IOException.class, () -> ClusterCodec.decode(hex.parseHex(frame)));
    }

    private static byte[] encodeRegistration(Registration registration) {
        return ClusterCodec.encode(new ClusterMessage.Registrations(0, List.of(registration)));
    }

    /** An instance that does not say its zone yet is read, so that versions can be mixed. */
    @Test
    void aGreetingWithoutAZoneIsRead() throws IOException {
        byte[] before = HexFormat.of().parseHex("0101a161c2");
        assertThat(ClusterCodec.decode(before))
                .isEqualTo(new ClusterMessage.Greeting(1, "a", "", null));
    }
}
