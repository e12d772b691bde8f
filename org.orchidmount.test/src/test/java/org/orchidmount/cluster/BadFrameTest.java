/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.orchidmount.cluster.ClusterMessage.Greeting;
import org.orchidmount.cluster.ClusterMessage.InFlightSequences;
import org.orchidmount.cluster.ClusterMessage.Registrations;
import org.orchidmount.cluster.ClusterMessage.RegistrationsAck;
import org.orchidmount.cluster.ClusterMessage.Voters;
import org.orchidmount.consensus.Member;
import org.orchidmount.junit.Await;
import org.orchidmount.load.InFlightSequence;
import org.orchidmount.membership.Incarnation;
import org.orchidmount.membership.Registration;

/**
 * A frame that cannot be read is dropped alone, and of a list the entries that cannot be used.
 *
 * <p>Seen: a frame of an unknown kind ended its link, and with a registration that named no address
 * each request failed that chose its upstream. How it came about: the reader's exception ended the
 * link, which connected again and was sent the same; and values were taken as they came. Cause: the
 * reader knew only frames that are right and links that are over. Proof: what follows the bad frame
 * on the same link never arrived.
 */
final class BadFrameTest {
    private static final Incarnation ENGINE = Incarnation.ofUnknownStart("i-1");
    private static final Duration LONGEST = Duration.ofSeconds(10);
    private static final Greeting GREETING = new Greeting(VoterNode.PROTOCOL, "peer", "zone", null);
    private static final int TABLE_DOCUMENT = 6;

    private final Queue<ClusterMessage> mReceived = new ConcurrentLinkedQueue<>();
    private final Queue<Link> mClosed = new ConcurrentLinkedQueue<>();
    private ServerSocket mListener;
    private Socket mPeer;
    private DataOutputStream mOut;
    private Thread mReader;

    @BeforeEach
    void start() throws IOException {
        mListener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        mPeer = new Socket(mListener.getInetAddress(), mListener.getLocalPort());
        mOut = new DataOutputStream(mPeer.getOutputStream());
        Link link = new Link(mListener.accept(), new Recorder());
        mReader = Thread.ofVirtual().start(link::run);
    }

    @AfterEach
    void stop() throws Exception {
        mPeer.close();
        mListener.close();
        mReader.join(LONGEST);
    }

    private final class Recorder implements Link.Handler {
        @Override
        public void received(Link link, ClusterMessage message) {
            mReceived.add(message);
        }

        @Override
        public void closed(Link link) {
            mClosed.add(link);
        }
    }

    private void send(byte[] frame) throws IOException {
        mOut.writeInt(frame.length);
        mOut.write(frame);
        mOut.flush();
    }

    private void send(ClusterMessage message) throws IOException {
        send(ClusterCodec.encode(message));
    }

    /** Something that packs a frame. */
    private interface Packing {
        void pack(MessageBufferPacker out) throws IOException;
    }

    private static byte[] frame(Packing packing) {
        try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            packing.pack(out);
            return out.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    static List<byte[]> unreadable() {
        return List.of(
                new byte[] {99},
                new byte[] {(byte) 0xc1, 1, 2},
                new byte[1_000],
                frame(out -> out.packString("text")),
                frame(out -> out.packLong(Long.MAX_VALUE)),
                frame(out -> out.packInt(8).packString("no number")),
                frame(out -> out.packInt(7).packLong(0).packArrayHeader(Integer.MAX_VALUE)),
                frame(out -> out.packInt(7).packLong(0).packArrayHeader(2).packString("i-1")),
                frame(out -> out.packInt(9).packArrayHeader(1).packBoolean(true)),
                frame(out -> out.packInt(11).packLong(1).packInt(0).packLong(-1).packString("")));
    }

    @ParameterizedTest
    @MethodSource("unreadable")
    void whatFollowsAFrameThatCannotBeReadArrives(byte[] unreadable) throws IOException {
        assertThrows(IOException.class, () -> ClusterCodec.decode(unreadable));
        send(GREETING);
        send(unreadable);
        send(new RegistrationsAck(7));
        Await.until("the next", LONGEST, () -> mReceived.contains(new RegistrationsAck(7)));
        assertThat(mReceived).containsExactly(GREETING, new RegistrationsAck(7)).inOrder();
        assertThat(mClosed).isEmpty();
    }

    /** A peer that does not begin as an instance does is none. */
    @Test
    void aLinkThatBeginsWithAnUnreadableFrameEnds() throws IOException {
        send(new byte[] {99});
        Await.until("the end", LONGEST, () -> !mClosed.isEmpty());
        assertThat(mReceived).isEmpty();
    }

    /** Where frames begin can no longer be told. */
    @Test
    void aLinkWhoseLengthsAreNoneEnds() throws IOException {
        send(GREETING);
        mOut.writeInt(-1);
        mOut.flush();
        Await.until("the end", LONGEST, () -> !mClosed.isEmpty());
    }

    /** A length inside a frame is not taken for memory. */
    @Test
    void aDocumentLongerThanItsFrameIsRefused() {
        byte[] frame =
                frame(
                        out ->
                                out.packInt(TABLE_DOCUMENT)
                                        .packLong(1)
                                        .packBinaryHeader(Integer.MAX_VALUE));
        assertThrows(IOException.class, () -> ClusterCodec.decode(frame));
    }

    static List<Registration> unusableRegistrations() {
        return List.of(
                registration("", "s", "10.0.0.9:80", 4, 7),
                registration("i-9", "", "10.0.0.9:80", 4, 7),
                registration("i-9", "s", "", 4, 7),
                registration("i-9", "s", "10.0.0.9", 4, 7),
                registration("i-9", "s", "10.0.0.9:0", 4, 7),
                registration("i-9", "s", "10.0.0.9:65536", 4, 7),
                registration("i-9", "s", "10.0.0.9:80", 0, 7),
                registration("i-9", "s", "10.0.0.9:80", 4, -1));
    }

    private static Registration registration(
            String id, String service, String address, int slots, long sequence) {
        return new Registration(
                id,
                service,
                address,
                "zone",
                slots,
                Registration.Stage.NONE,
                Registration.State.READY,
                sequence);
    }

    @ParameterizedTest
    @MethodSource("unusableRegistrations")
    void ofRegistrationsTheUsableOnesHold(Registration unusable) throws IOException {
        Registration first = registration("i-1", "s", "10.0.0.1:80", 4, 7);
        Registration last = registration("i-2", "s", "[fd00::2]:80", 1, 0);
        assertThat(decoded(new Registrations(3, List.of(first, unusable, last))))
                .isEqualTo(new Registrations(3, List.of(first, last)));
    }

    /** Of an upstream that has left nothing but its identity need be known. */
    @Test
    void aDepartureNeedsNoMoreThanAnIdentity() throws IOException {
        Registrations gone =
                new Registrations(
                        3,
                        List.of(
                                registration("i-1", "", "", 0, 0)
                                        .withState(Registration.State.GONE)));
        assertThat(decoded(gone)).isEqualTo(gone);
    }

    /** An instance of a later version may know more stages and states. */
    @Test
    void aRegistrationOfAnUnknownStageIsDroppedAlone() throws IOException {
        Registration last = registration("i-2", "s", "10.0.0.2:80", 1, 1);
        byte[] frame =
                frame(
                        out -> {
                            out.packInt(7).packLong(3).packArrayHeader(3);
                            pack(out, "i-9", 77, 0);
                            pack(out, "i-8", 0, 77);
                            pack(out, "i-2", 0, 0);
                        });
        assertThat(ClusterCodec.decode(frame)).isEqualTo(new Registrations(3, List.of(last)));
    }

    private static void pack(MessageBufferPacker out, String id, int stage, int state)
            throws IOException {
        out.packString(id).packString("s").packString("10.0.0.2:80").packString("zone");
        out.packInt(1).packInt(stage).packInt(state).packLong(1);
    }

    @Test
    void ofSequencesTheUsableOnesHold() throws IOException {
        List<InFlightSequence> sequences = new ArrayList<>();
        InFlightSequence usable = InFlightSequence.ofOutput("r-1", 5, 70, 99).placedAt(ENGINE, 1);
        sequences.add(usable);
        sequences.add(InFlightSequence.ofOutput("r-2", -5, 70, 99).placedAt(ENGINE, 1));
        sequences.add(InFlightSequence.ofOutput("r-3", 5, -70, 99).placedAt(ENGINE, 1));
        sequences.add(InFlightSequence.ofOutput("r-4", 5, 70, -99).placedAt(ENGINE, 1));
        sequences.add(usable.withGenerated(-1));
        sequences.add(usable.asEnded());
        assertThat(decoded(new InFlightSequences(sequences)))
                .isEqualTo(new InFlightSequences(List.of(usable, usable.asEnded())));
    }

    @Test
    void ofVotersTheUsableOnesHold() throws IOException {
        Member usable = new Member("a/first", "10.0.0.1:1", "10.0.0.1:2");
        Member unusable = new Member("b/first", "nowhere", "10.0.0.1:2");
        assertThat(decoded(new Voters(List.of(unusable, usable))))
                .isEqualTo(new Voters(List.of(usable)));
        Greeting greeting = new Greeting(VoterNode.PROTOCOL, "b", "zone", unusable);
        assertThrows(IOException.class, () -> decoded(greeting));
    }

    @Test
    void whatIsDroppedIsTold() throws IOException {
        List<String> told = new ArrayList<>();
        Consumer<String> refusals = told::add;
        Registration unusable = registration("i-9", "s", "10.0.0.9", 4, 7);
        ClusterCodec.decode(ClusterCodec.encode(new Registrations(3, List.of(unusable))), refusals);
        assertThat(told).hasSize(1);
        assertThat(told.getFirst()).contains("i-9");
    }

    private static ClusterMessage decoded(ClusterMessage message) throws IOException {
        return ClusterCodec.decode(ClusterCodec.encode(message));
    }
}
