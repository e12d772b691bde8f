/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.orchidmount.clock.SystemMonotonicClock;
import org.orchidmount.cluster.ClusterMessage.Greeting;
import org.orchidmount.cluster.ClusterMessage.PathReport;
import org.orchidmount.cluster.ClusterMessage.TunnelOffers;
import org.orchidmount.internal.http.ConnectionPath;
import org.orchidmount.internal.http.TunnelPeer;
import org.orchidmount.junit.Await;

/** What voters tell entries of others that open tunnels, and operators of entries' paths. */
final class TunnelAnnouncementTest {
    private static final Duration LONGEST = Duration.ofSeconds(20);

    @TempDir Path mFolder;
    private VoterSite mSite;
    private final Map<String, List<TunnelPeer>> mAnnounced = new ConcurrentHashMap<>();

    @BeforeEach
    void start() throws IOException {
        mSite = new VoterSite(mFolder, 1);
    }

    @AfterEach
    void stop() {
        mSite.close();
    }

    private static TunnelPeer offer(String node, String token) {
        return new TunnelPeer(node, "zone-0", "127.0.0.1", 7_000, token);
    }

    private EntryNode entry(String name, Optional<TunnelPeer> offer) {
        return new EntryNode(
                name,
                "zone-0",
                List.of(mSite.address(0)),
                document -> {
                    throw new IllegalArgumentException("there is no table here");
                },
                new VoterSite.Nothing(),
                offer,
                (voter, peers) -> mAnnounced.put(name, peers),
                new SystemMonotonicClock());
    }

    private void awaitAnnounced(String name, TunnelPeer... peers) {
        Await.until(name + " knows", LONGEST, () -> List.of(peers).equals(mAnnounced.get(name)));
    }

    /** Guards against tunnels of instances that have left, or of an earlier start. */
    @Test
    void eachEntryKnowsTheOthersAsTheyAre() {
        try (EntryNode _ = entry("one", Optional.of(offer("one", "t-1")))) {
            try (EntryNode _ = entry("two", Optional.of(offer("two", "t-2")))) {
                awaitAnnounced("one", offer("two", "t-2"));
                awaitAnnounced("two", offer("one", "t-1"));
            }
            awaitAnnounced("one");
            try (EntryNode _ = entry("two", Optional.of(offer("two", "t-3")))) {
                awaitAnnounced("one", offer("two", "t-3"));
            }
        }
    }

    /**
     * An entry of an earlier build offers no tunnels, and is sent no frame that it does not know.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void onlyThoseThatUseTunnelsAreToldOfThem(boolean isSupported) throws IOException {
        CollectedMessages received = new CollectedMessages();
        Set<Capability> capabilities = isSupported ? Capability.own() : Set.of();
        Socket socket = new Socket("127.0.0.1", mSite.address(0).port());
        try (EntryNode _ = entry("one", Optional.of(offer("one", "t-1")));
                EntryNode _ = entry("two", Optional.of(offer("two", "t-2")));
                Link link = new Link(socket, received)) {
            link.send(new Greeting(VoterNode.PROTOCOL, "old", "zone-0", null, capabilities));
            Thread.ofVirtual().start(link::run);
            awaitAnnounced("one", offer("two", "t-2"));
            Await.until(
                    "two notices came",
                    LONGEST,
                    () -> received.count(ClusterMessage.TableNotice.class) > 1);
            assertThat(received.count(TunnelOffers.class) > 0).isEqualTo(isSupported);
        }
    }

    /** Guards against operators who cannot see which entries are cut off. */
    @Test
    void theVoterKnowsHowEntriesReachUpstreams() {
        VoterNode voter = mSite.voters().getFirst();
        try (EntryNode one = entry("one", Optional.empty());
                EntryNode _ = entry("two", Optional.empty())) {
            awaitPaths(voter, ConnectionPath.DIRECT);
            one.reportPath(ConnectionPath.TUNNEL);
            awaitPaths(voter, ConnectionPath.TUNNEL);
            one.reportPath(ConnectionPath.DIRECT);
            awaitPaths(voter, ConnectionPath.DIRECT);
        }
    }

    private static void awaitPaths(VoterNode voter, ConnectionPath ofOne) {
        Map<String, ConnectionPath> expected = Map.of("one", ofOne, "two", ConnectionPath.DIRECT);
        Await.until("paths", LONGEST, () -> expected.equals(voter.entryPaths().join()));
    }

    @Test
    void messagesAreDecodedAsTheyWereEncoded() throws IOException {
        TunnelPeer offer = offer("one", "t-1");
        Greeting greeting =
                new Greeting(
                        VoterNode.PROTOCOL,
                        "one",
                        "zone-0",
                        null,
                        Capability.own(),
                        Optional.of(offer));
        List<ClusterMessage> messages =
                List.of(
                        greeting,
                        new TunnelOffers(List.of(offer, offer("two", "t-2"))),
                        new PathReport(ConnectionPath.NONE));
        for (ClusterMessage message : messages) {
            assertThat(ClusterCodec.decode(ClusterCodec.encode(message))).isEqualTo(message);
        }
    }

    /** Guards against an unusable entry of a list that takes the others with it. */
    @Test
    void unusableTunnelsAreSkipped() throws IOException {
        TunnelPeer unusable = new TunnelPeer("", "zone-0", "127.0.0.1", 0, "t");
        byte[] frame =
                ClusterCodec.encode(new TunnelOffers(List.of(unusable, offer("two", "t-2"))));
        assertThat(ClusterCodec.decode(frame))
                .isEqualTo(new TunnelOffers(List.of(offer("two", "t-2"))));
    }
}
