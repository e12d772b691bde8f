/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.orchidmount.clock.SystemMonotonicClock;
import org.orchidmount.cluster.ClusterMessage.Greeting;
import org.orchidmount.cluster.ClusterMessage.StreamRecords;
import org.orchidmount.internal.log.PartLog;
import org.orchidmount.junit.Await;
import org.orchidmount.stream.StreamKey;
import org.orchidmount.stream.StreamOrigin;
import org.orchidmount.stream.StreamRecord;

/** The origins of streams among three voters in three availability zones, and entries. */
final class StreamOriginsTest {
    private static final Duration LONGEST = Duration.ofSeconds(20);
    private static final Duration LIFETIME = Duration.ofSeconds(60);
    private static final StreamOrigin ORIGIN = new StreamOrigin("s", "v1");

    @TempDir Path mFolder;
    private VoterSite mSite;
    private EntryNode mFirst;
    private EntryNode mSecond;

    @BeforeEach
    void start() throws IOException {
        mSite = new VoterSite(mFolder, 3);
        mFirst = mSite.addEntry("first");
        mSecond = mSite.addEntry("second");
    }

    @AfterEach
    void stop() {
        mSite.close();
    }

    private void begin(String id) {
        mFirst.streamOrigins().begun(id, ORIGIN, LIFETIME);
        awaitKnown(mSecond, id);
    }

    private static void awaitKnown(EntryNode entry, String id) {
        Await.until("origin known", LONGEST, () -> find(entry, id).equals(Optional.of(ORIGIN)));
    }

    private static Optional<StreamOrigin> find(EntryNode entry, String id) {
        try {
            return entry.streamOrigins().find(id);
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    /** Guards against an entry that takes a stream for one of the versions that it knows. */
    @Test
    void aStreamOfWhichNobodyHasToldIsUnknown() {
        begin("id-1");
        assertThat(find(mSecond, "id-2")).isEmpty();
    }

    /** Guards against an origin that ends with the entry where the stream began. */
    @Test
    void anOriginOutlivesItsEntryAndAVoter() {
        begin("id-1");
        mSite.endEntry(mFirst);
        mSite.endVoter(mSite.voters().getFirst());
        awaitKnown(mSite.addEntry("third"), "id-1");
    }

    /** Guards against origins that end with the memory of all voters, while their entry lives. */
    @Test
    void anOriginOutlivesARestartOfAllVoters() throws IOException {
        begin("id-1");
        mSite.restartVoters(() -> {});
        awaitKnown(mSite.addEntry("third"), "id-1");
    }

    /** Guards against a link that a voter of an earlier build closes on an unknown frame. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void onlyVotersThatKnowOriginsAreToldOfThem(boolean isSupported) throws IOException {
        CollectedMessages received = new CollectedMessages();
        Set<Capability> capabilities = isSupported ? Capability.own() : Set.of();
        try (ServerSocket listening = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                TaskThread tasks = new TaskThread("entry", PartLog.of("entry"));
                Socket socket = new Socket(listening.getInetAddress(), listening.getLocalPort());
                Link link = new Link(listening.accept(), new CollectedMessages());
                Link peer = new Link(socket, received)) {
            Thread.ofVirtual().start(peer::run);
            Thread.ofVirtual().start(link::run);
            EntryStreams streams =
                    new EntryStreams(
                            "e", "zone-0", tasks, () -> Duration.ZERO, new SystemMonotonicClock());
            streams.begun("id-1", ORIGIN, LIFETIME);
            streams.linked(
                    link, new Greeting(VoterNode.PROTOCOL, "voter", "zone-0", null, capabilities));
            link.send(new ClusterMessage.TableRequest());
            Await.until(
                    "the frame after it came",
                    LONGEST,
                    () -> received.count(ClusterMessage.TableRequest.class) > 0);
            assertThat(received.count(StreamRecords.class) > 0).isEqualTo(isSupported);
        }
    }

    /** States what an origin costs on a link, with the length of the frame. */
    @ParameterizedTest
    @ValueSource(ints = {1, 10, 400})
    void aRecordIsSmall(int count) {
        List<StreamRecord> streams = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            streams.add(new StreamRecord(StreamKey.of("id-" + i), ORIGIN, LIFETIME));
        }
        int bytes = ClusterCodec.encode(new StreamRecords(streams)).length;
        assertThat(bytes).isAtMost(16 + 16 * count);
    }
}
