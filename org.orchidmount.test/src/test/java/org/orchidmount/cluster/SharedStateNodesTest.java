/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import static com.google.common.truth.Truth.assertThat;

import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.orchidmount.clock.SystemMonotonicClock;
import org.orchidmount.cluster.ClusterMessage.EvidenceDigestMessage;
import org.orchidmount.cluster.ClusterMessage.EvidenceReportMessage;
import org.orchidmount.cluster.ClusterMessage.Greeting;
import org.orchidmount.cluster.ClusterMessage.TableDocument;
import org.orchidmount.cluster.ClusterMessage.TableNotice;
import org.orchidmount.cluster.ClusterMessage.TableRequest;
import org.orchidmount.cluster.ClusterMessage.WaitingRequestsMessage;
import org.orchidmount.consensus.Member;
import org.orchidmount.evidence.EvidenceDigest;
import org.orchidmount.evidence.EvidenceReceiver;
import org.orchidmount.evidence.EvidenceReport;
import org.orchidmount.evidence.EvidenceSource;
import org.orchidmount.evidence.UpstreamEvidence;
import org.orchidmount.evidence.UpstreamEvidence.Witness;
import org.orchidmount.evidence.UpstreamObservations;
import org.orchidmount.junit.Await;
import org.orchidmount.load.InFlightSequence;
import org.orchidmount.membership.Incarnation;
import org.orchidmount.membership.Registration;
import org.orchidmount.routes.CallerLimits;
import org.orchidmount.routes.ClientAccounts;
import org.orchidmount.routes.RouteTable;
import org.orchidmount.routes.Service;
import org.orchidmount.waiting.WaitingReceiver;
import org.orchidmount.waiting.WaitingRequest;

/** Shared state over real voters and entries, linked over loopback; the rules are fakes. */
final class SharedStateNodesTest {
    private static final Duration LONGEST = Duration.ofSeconds(20);
    private static final int VOTERS = 3;

    /** Engines with one slot, so that one entry suffices. */
    private static final int SLOTS = 1;

    private static final SharedStateGate GATE = new SharedStateGate(1);
    private static final Incarnation UPSTREAM = Incarnation.startedAt("i-1", 7);

    @TempDir Path mFolder;
    private final List<EchoMerger> mMergers = new ArrayList<>();
    private VoterSite mSite;

    @BeforeEach
    void start() throws IOException {
        mSite = new VoterSite(mFolder, VOTERS);
        for (VoterNode voter : mSite.voters()) {
            EchoMerger merger = new EchoMerger();
            mMergers.add(merger);
            voter.mergeReports(merger);
        }
    }

    @AfterEach
    void stop() {
        mSite.close();
    }

    // ---- Evidence

    /** Guards against a report that reaches only part of the zones. */
    @ParameterizedTest
    @ValueSource(strings = {"zone-0", "zone-1", "zone-without-voter"})
    void aReportOfOneEntryReachesAnotherAsADigest(String zone) {
        Sharing one = sharing("one", zone);
        Sharing two = sharing("two", "zone-0");
        one.mSource.observe(failureAt(UPSTREAM));
        Await.until("a digest", LONGEST, () -> two.isKnown(UPSTREAM));
        UpstreamEvidence evidence =
                new UpstreamEvidence(
                        UPSTREAM,
                        List.of(new Witness("one", zone, 0)),
                        UpstreamEvidence.NEVER,
                        1,
                        0,
                        0);
        assertThat(two.mReceived.upstreams()).contains(evidence);
        assertThat(two.mReceived.voters()).contains(mSite.address(0).toString());
    }

    /** Guards against failures that wait for the periodic report, up to 0.5 s each. */
    @Test
    void urgentReportsAreSentImmediately() {
        Sharing one = sharing("one", "zone-0");
        Sharing two = sharing("two", "zone-0");
        long startNanos = System.nanoTime();
        for (int i = 0; i < 10; i++) {
            Incarnation upstream = Incarnation.startedAt("i-" + i, i);
            one.mSource.observeUrgently(failureAt(upstream));
            Await.until("a digest", LONGEST, () -> two.isKnown(upstream));
        }
        // Ten periodic reports in a row would take 5 s.
        assertThat(System.nanoTime() - startNanos).isLessThan(3_000_000_000L);
    }

    /** Guards against evidence that is lost with a voter instead of going through another. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void afterTheEndOfAVoterEvidenceComesThroughTheOthers(int ended) {
        Sharing one = sharing("one", "zone-0");
        Sharing two = sharing("two", "zone-0");
        one.mSource.observe(failureAt(UPSTREAM));
        Await.until("a digest", LONGEST, () -> two.isKnown(UPSTREAM));
        mSite.endVoter(mSite.voters().get(ended));
        Await.until(
                "evidence observed after the end",
                LONGEST,
                () -> {
                    Incarnation later = Incarnation.startedAt("later", System.nanoTime());
                    one.mSource.observeIfIdle(failureAt(later));
                    return two.mReceived.upstreams().stream()
                            .anyMatch(evidence -> evidence.upstream().id().equals("later"));
                });
        assertThat(one.mNode.isSharedStateInForce()).isTrue();
    }

    /** Guards against evidence about an incarnation that has ended. */
    @Test
    void theMergerOfAVoterKnowsTheRegisteredIncarnations() {
        register(Incarnation.startedAt("before", 1));
        VoterNode voter = mSite.voters().getLast();
        EchoMerger merger = new EchoMerger();
        Await.until("registered", LONGEST, () -> mMergers.getLast().knows("before"));
        voter.mergeReports(merger);
        Await.until("those registered before", LONGEST, () -> merger.knows("before"));
        register(Incarnation.startedAt("after", 1));
        Await.until("those registered after", LONGEST, () -> merger.knows("after"));
    }

    private void register(Incarnation upstream) {
        mSite.voters()
                .getFirst()
                .register(
                        new Registration(
                                upstream,
                                "s",
                                "127.0.0.1:1",
                                "a",
                                1,
                                Registration.Stage.NONE,
                                Registration.State.READY,
                                1));
    }

    // ---- Waiting requests

    /** Guards against a request that is unknown in some zone, or comes back to its own entry. */
    @ParameterizedTest
    @ValueSource(strings = {"zone-0", "zone-1", "zone-without-voter"})
    void aWaitingRequestReachesTheOtherEntries(String zone) {
        Sharing one = sharing("one", zone);
        Sharing two = sharing("two", "zone-0");
        Sharing three = sharing("three", "zone-1");
        one.mNode.announce(waiting("r-1", false));
        Await.until("announced", LONGEST, () -> two.isWaiting("r-1") && three.isWaiting("r-1"));
        one.mNode.announce(waiting("r-1", true));
        Await.until("ended", LONGEST, () -> two.hasEnded("r-1") && three.hasEnded("r-1"));
        two.mNode.announce(waiting("r-2", false));
        Await.until("in the other direction", LONGEST, () -> one.isWaiting("r-2"));
        assertThat(one.mWaiting.stream().map(WaitingRequest::id)).doesNotContain("r-1");
        assertThat(Set.copyOf(two.mWaiting))
                .containsExactly(waiting("r-1", false), waiting("r-1", true));
    }

    /** Guards against announcements that wait for anything but the 8 ms of their batch. */
    @Test
    void aWaitingRequestReachesTheOthersWithinItsBatch() {
        Sharing one = sharing("one", "zone-0");
        Sharing two = sharing("two", "zone-0");
        List<Duration> taken = new ArrayList<>();
        for (int i = 0; i < 21; i++) {
            String id = "r-" + i;
            one.mNode.announce(waiting(id, false));
            taken.add(Await.until("announced", LONGEST, () -> two.isWaiting(id)));
        }
        taken.sort(Duration::compareTo);
        // The median ignores single stalls of a busy machine.
        assertThat(taken.get(10)).isLessThan(Duration.ofMillis(100));
    }

    /** Guards against a burst that is cut off at the bound of a frame. */
    @Test
    void moreWaitingRequestsThanAFrameHoldsAllArrive() {
        Sharing one = sharing("one", "zone-0");
        Sharing two = sharing("two", "zone-0");
        for (int i = 0; i < 300; i++) {
            one.mNode.announce(waiting("r-" + i, false));
        }
        Await.until(
                "all",
                LONGEST,
                () -> two.mWaiting.stream().map(WaitingRequest::id).distinct().count() == 300);
        assertThat(one.mNode.isSharedStateInForce()).isTrue();
    }

    @Test
    void aVoterWithoutAMergerRelaysWaitingRequests() throws IOException {
        mSite.close();
        mMergers.clear();
        mSite = new VoterSite(mFolder.resolve("other"), VOTERS);
        Sharing one = sharing("one", "zone-0");
        Sharing two = sharing("two", "zone-0");
        one.mSource.observeUrgently(failureAt(UPSTREAM));
        Await.until(
                "announced",
                LONGEST,
                () -> {
                    one.mNode.announce(waiting("r-1", false));
                    return two.isWaiting("r-1");
                });
        assertThat(two.isKnown(UPSTREAM)).isFalse();
    }

    /** Guards against one bad element that hides the requests beside it. */
    @Test
    void aMalformedElementIsSkippedByAVoterAndTheRestRelayed() throws IOException {
        Sharing two = sharing("two", "zone-0");
        try (Socket socket = new Socket("127.0.0.1", mSite.address(0).port())) {
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            Greeting greeting =
                    new Greeting(VoterNode.PROTOCOL, "odd", "zone-0", null, Capability.own());
            out.write(new Frame(greeting).bytes());
            byte[] frame = withMalformedElement();
            out.writeInt(frame.length);
            out.write(frame);
            out.flush();
            Await.until("the good element", LONGEST, () -> two.isWaiting("good"));
        }
        assertThat(two.mWaiting).hasSize(1);
    }

    /** A frame with a malformed element, followed by that of the request "good". */
    private static byte[] withMalformedElement() throws IOException {
        byte[] good =
                ClusterCodec.encode(new WaitingRequestsMessage(List.of(waiting("good", false))));
        try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            out.packInt(17).packArrayHeader(2).packBinaryHeader(1).writePayload(new byte[1]);
            // Appends the only element of the other frame, behind its type and list header.
            out.writePayload(good, 2, good.length - 2);
            return out.toByteArray();
        }
    }

    // ---- Earlier builds

    /** Builds up to 0681d09 close a link on a frame of a type that they do not know. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void anEntryOfAnEarlierBuildReceivesNoNewFrame(boolean supports) throws IOException {
        Sharing one = sharing("one", "zone-0");
        Sharing two = sharing("two", "zone-0");
        CollectedMessages received = new CollectedMessages();
        Socket socket = new Socket("127.0.0.1", mSite.address(0).port());
        try (Link link = new Link(socket, received)) {
            link.send(
                    new Greeting(
                            VoterNode.PROTOCOL, "old", "zone-0", null, capabilities(supports)));
            Thread.ofVirtual().start(link::run);
            Await.until("greeted", LONGEST, () -> received.count(ClusterMessage.Voters.class) > 0);
            one.mNode.announce(waiting("r-1", false));
            one.mSource.observe(failureAt(UPSTREAM));
            Await.until("at the other", LONGEST, () -> two.isWaiting("r-1"));
            Await.until("at the other", LONGEST, () -> two.isKnown(UPSTREAM));
            awaitNotices(received);
            assertThat(received.count(WaitingRequestsMessage.class) > 0).isEqualTo(supports);
            assertThat(received.count(EvidenceDigestMessage.class) > 0).isEqualTo(supports);
        }
    }

    /** Two notices: what was sent before the first of them has arrived. */
    private static void awaitNotices(CollectedMessages received) {
        long notices = received.count(TableNotice.class);
        Await.until(
                "two notices later",
                LONGEST,
                () -> received.count(TableNotice.class) > notices + 1);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aVoterOfAnEarlierBuildReceivesNoNewFrame(boolean supports) throws IOException {
        try (StandInVoter voter = new StandInVoter(SLOTS, 1, capabilities(supports));
                Sharing one = new Sharing("one", voter.mAddress, GATE)) {
            Await.until("in force", LONGEST, one.mNode::isSharedStateInForce);
            one.mNode.announce(waiting("r-1", false));
            one.mSource.observe(failureAt(UPSTREAM));
            Await.until("drained", LONGEST, () -> one.mSource.mDrains.get() > 1);
            if (supports) {
                Await.until("sent", LONGEST, () -> voter.newFrames() == 2);
            }
            assertThat(voter.newFrames()).isEqualTo(supports ? 2 : 0);
        }
    }

    /** Guards against reports that all go to a voter that is linked but no longer works. */
    @Test
    void whileAVoterStallsReportsGoToAnotherOfItsZone() throws IOException {
        try (StandInVoter stalled = new StandInVoter(SLOTS, 1, Capability.own());
                StandInVoter other = new StandInVoter(SLOTS, 1, Capability.own());
                Sharing one = new Sharing("one", stalled.mAddress, GATE)) {
            Await.until("in force", LONGEST, one.mNode::isSharedStateInForce);
            one.mSource.observeUrgently(failureAt(UPSTREAM));
            Await.until("at the first", LONGEST, () -> stalled.newFrames() == 1);
            one.mNode.addSeeds(List.of(other.mAddress));
            // The first voter sends no further notice, and the other one on its greeting.
            Await.until("at the other", LONGEST, () -> reported(one, other) > 1);
            long sentToStalled = stalled.newFrames();
            long sentToOther = other.newFrames();
            Await.until("at the other", LONGEST, () -> reported(one, other) > sentToOther + 2);
            assertThat(stalled.newFrames()).isEqualTo(sentToStalled);
        }
    }

    /** Reports again if all is reported, and returns the number of frames that a voter received. */
    private static long reported(Sharing entry, StandInVoter voter) {
        if (entry.mSource.mObserved.isEmpty()) {
            entry.mSource.observeUrgently(failureAt(UPSTREAM));
        }
        return voter.newFrames();
    }

    private static Set<Capability> capabilities(boolean supportsSharedState) {
        return supportsSharedState
                ? Capability.own()
                : EnumSet.complementOf(EnumSet.of(Capability.SHARED_STATE));
    }

    // ---- Not in force

    /** Guards against traffic at sites where shared state is of no use or not wanted. */
    @ParameterizedTest
    @CsvSource({"4, 12, 47, false", "4, 12, 48, true", "4, 0, 360, false", ", 12, 360, false"})
    void whileNotInForceNothingIsCollectedOrSent(
            Integer entriesPerSlot, int slots, int entries, boolean expected) throws Exception {
        SharedStateGate gate = entriesPerSlot == null ? null : new SharedStateGate(entriesPerSlot);
        try (StandInVoter voter = new StandInVoter(slots, entries, Capability.own());
                Sharing one = new Sharing("one", voter.mAddress, gate)) {
            Await.until("a table", LONGEST, () -> one.mNode.table().isPresent());
            one.mSource.observeUrgently(failureAt(UPSTREAM));
            one.mNode.announce(waiting("r-1", false));
            voter.send(new WaitingRequestsMessage(List.of(waiting("r-2", false))));
            voter.send(new EvidenceDigestMessage(new EvidenceDigest(List.of(evidence(UPSTREAM)))));
            voter.send(new TableNotice(2, true, entries));
            // The next table is requested after all of the above has been handled.
            Await.until("the next table", LONGEST, () -> voter.requests() > 1);
            if (expected) {
                Await.until("sent", LONGEST, () -> voter.newFrames() > 0);
            } else {
                // Longer than the interval of reports.
                Thread.sleep(700);
            }
            assertThat(one.mNode.isSharedStateInForce()).isEqualTo(expected);
            assertThat(voter.newFrames() > 0).isEqualTo(expected);
            assertThat(one.mSource.mDrains.get() > 0).isEqualTo(expected);
            assertThat(one.isWaiting("r-2")).isEqualTo(expected);
            assertThat(one.isKnown(UPSTREAM)).isEqualTo(expected);
        }
    }

    /** Guards against a decision that is taken once, with the table or the count of the start. */
    @Test
    void comesIntoForceAndEndsWithTheNumberOfEntriesAndTheTable() throws IOException {
        try (StandInVoter voter = new StandInVoter(12, 47, Capability.own());
                Sharing one = new Sharing("one", voter.mAddress, new SharedStateGate(4))) {
            Await.until("a table", LONGEST, () -> one.mNode.table().isPresent());
            assertThat(one.mNode.isSharedStateInForce()).isFalse();
            voter.send(new TableNotice(1, true, 48));
            Await.until("enough entries", LONGEST, one.mNode::isSharedStateInForce);
            voter.send(new TableNotice(1, true, 47));
            Await.until("too few", LONGEST, () -> !one.mNode.isSharedStateInForce());
            voter.mSlots = 11;
            voter.send(new TableNotice(2, true, 47));
            Await.until("smaller engines", LONGEST, one.mNode::isSharedStateInForce);
        }
    }

    /** The voters of a site with shared state but too few entries send nothing either. */
    @Test
    void aSiteWithTooFewEntriesSendsNoFrame() throws IOException {
        mSite.putTable(1, document(1, 12));
        Sharing one = new Sharing("one", new SharedStateGate(4));
        Sharing two = new Sharing("two", new SharedStateGate(4));
        CollectedMessages received = new CollectedMessages();
        Socket socket = new Socket("127.0.0.1", mSite.address(0).port());
        try (Link link = new Link(socket, received)) {
            link.send(new Greeting(VoterNode.PROTOCOL, "new", "zone-0", null, Capability.own()));
            Thread.ofVirtual().start(link::run);
            Await.until("a table", LONGEST, () -> two.mNode.table().isPresent());
            Await.until("a table", LONGEST, () -> one.mNode.table().isPresent());
            one.mSource.observeUrgently(failureAt(UPSTREAM));
            one.mNode.announce(waiting("r-1", false));
            awaitNotices(received);
            assertThat(received.count(WaitingRequestsMessage.class)).isEqualTo(0);
            assertThat(received.count(EvidenceDigestMessage.class)).isEqualTo(0);
            assertThat(mMergers.stream().mapToInt(EchoMerger::reports).sum()).isEqualTo(0);
        }
    }

    // ---- Fakes

    /** Adds an entry, and waits until it has links to all voters over which it shares state. */
    private Sharing sharing(String name, String zone) {
        mSite.putTable(1, document(1, SLOTS));
        Sharing sharing =
                new Sharing(mSite.addEntry(name, zone, SharedStateNodesTest::parse), GATE);
        Await.until(name + " in force", LONGEST, sharing.mNode::isSharedStateInForce);
        Await.until(
                name + " linked to all",
                LONGEST,
                () -> {
                    sharing.mSource.observeIfIdle(failureAt(Incarnation.startedAt("linked", 1)));
                    return mMergers.stream().allMatch(merger -> merger.hasReported(name));
                });
        return sharing;
    }

    private static WaitingRequest waiting(String id, boolean ended) {
        return new WaitingRequest(id, "s", "account-1", 0, 5_000, 4_900, 120, 680, ended);
    }

    private static UpstreamObservations failureAt(Incarnation upstream) {
        return new UpstreamObservations(upstream, 0, 1, 0, 0, 0);
    }

    private static UpstreamEvidence evidence(Incarnation upstream) {
        return new UpstreamEvidence(upstream, List.of(), UpstreamEvidence.NEVER, 1, 0, 0);
    }

    private static byte[] document(long version, int slots) {
        return (version + " " + slots).getBytes(StandardCharsets.UTF_8);
    }

    private static RouteTable parse(byte[] document) {
        String[] words = new String(document, StandardCharsets.UTF_8).split(" ");
        Service.Engine engine = new Service.Engine(74_000, 70, Integer.parseInt(words[1]));
        Service service = new Service("s", Optional.of(engine), OptionalInt.empty());
        CallerLimits limits = new CallerLimits(1, Duration.ofSeconds(1));
        return new RouteTable(
                Long.parseLong(words[0]),
                List.of(),
                Map.of("s", service),
                limits,
                ClientAccounts.NONE);
    }

    /** An entry with what it has received. Thread-safe. */
    private final class Sharing implements AutoCloseable, WaitingReceiver {
        private final EntryNode mNode;
        private final Source mSource = new Source();
        private final Received mReceived = new Received();
        private final Queue<WaitingRequest> mWaiting = new ConcurrentLinkedQueue<>();

        Sharing(EntryNode node, SharedStateGate gate) {
            mNode = node;
            if (gate != null) {
                node.shareState(gate, mSource, mReceived, this);
            }
        }

        /** Starts an entry of the site. */
        Sharing(String name, SharedStateGate gate) {
            this(mSite.addEntry(name, "zone-0", SharedStateNodesTest::parse), gate);
        }

        /** Starts an entry with one voter. */
        Sharing(String name, HostPort voter, SharedStateGate gate) {
            this(
                    new EntryNode(
                            name,
                            "zone-0",
                            List.of(voter),
                            SharedStateNodesTest::parse,
                            new Nothing(),
                            new SystemMonotonicClock()),
                    gate);
        }

        @Override
        public void onWaiting(List<WaitingRequest> requests) {
            mWaiting.addAll(requests);
        }

        boolean isWaiting(String id) {
            return mWaiting.stream().anyMatch(request -> request.id().equals(id));
        }

        boolean hasEnded(String id) {
            return mWaiting.contains(waiting(id, true));
        }

        boolean isKnown(Incarnation upstream) {
            return mReceived.upstreams().stream()
                    .anyMatch(evidence -> evidence.upstream().equals(upstream));
        }

        @Override
        public void close() {
            mNode.close();
        }
    }

    private static final class Nothing implements EntryNode.Listener {
        @Override
        public void onRegistration(Registration registration) {}

        @Override
        public void onSequence(InFlightSequence sequence) {}
    }

    /** The digests that an entry has received. Thread-safe. */
    private static final class Received implements EvidenceReceiver {
        private final Queue<String> mVoters = new ConcurrentLinkedQueue<>();
        private final Queue<UpstreamEvidence> mUpstreams = new ConcurrentLinkedQueue<>();

        @Override
        public void onDigest(String voter, EvidenceDigest digest) {
            mVoters.add(voter);
            mUpstreams.addAll(digest.upstreams());
        }

        List<String> voters() {
            return List.copyOf(mVoters);
        }

        List<UpstreamEvidence> upstreams() {
            return List.copyOf(mUpstreams);
        }
    }

    /** Reports what a test observes. Thread-safe. */
    private static final class Source implements EvidenceSource {
        private final AtomicInteger mDrains = new AtomicInteger();
        private final Queue<UpstreamObservations> mObserved = new ConcurrentLinkedQueue<>();
        private volatile boolean mUrgent;
        private volatile Runnable mAction = () -> {};

        void observe(UpstreamObservations observations) {
            mObserved.add(observations);
        }

        /** Adds observations if all earlier ones have been reported. */
        void observeIfIdle(UpstreamObservations observations) {
            if (mObserved.isEmpty()) {
                observe(observations);
            }
        }

        void observeUrgently(UpstreamObservations observations) {
            mObserved.add(observations);
            mUrgent = true;
            mAction.run();
        }

        @Override
        public Optional<EvidenceReport> drain() {
            mDrains.incrementAndGet();
            mUrgent = false;
            UpstreamObservations first = mObserved.poll();
            return Optional.ofNullable(first).map(each -> new EvidenceReport(List.of(each)));
        }

        @Override
        public boolean isUrgent() {
            return mUrgent;
        }

        @Override
        public void onUrgent(Runnable action) {
            mAction = action;
        }
    }

    /** A voter that sends what a test states, and counts the new frames. Thread-safe. */
    private static final class StandInVoter implements Link.Handler, AutoCloseable {
        private final HostPort mAddress;
        private final LinkServer mServer;
        private final int mEntries;
        private final CollectedMessages mReceived = new CollectedMessages();
        private volatile int mSlots;
        private volatile Link mEntry;

        StandInVoter(int slots, int entries, Set<Capability> capabilities) throws IOException {
            mSlots = slots;
            mEntries = entries;
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                mAddress = new HostPort("127.0.0.1", socket.getLocalPort());
            }
            Member member = new Member("stand-in", mAddress.toString(), mAddress.toString());
            mServer =
                    new LinkServer(
                            mAddress,
                            new Greeting(
                                    VoterNode.PROTOCOL, "stand-in", "zone-0", member, capabilities),
                            this);
        }

        @Override
        public void received(Link link, ClusterMessage message) {
            mReceived.received(link, message);
            if (message instanceof Greeting) {
                mEntry = link;
                link.send(new TableNotice(1, true, mEntries));
            } else if (message instanceof TableRequest) {
                link.send(new TableDocument(requests(), document(requests(), mSlots)));
            }
        }

        @Override
        public void closed(Link link) {}

        void send(ClusterMessage message) {
            Await.until("an entry", LONGEST, () -> mEntry != null);
            mEntry.send(message);
        }

        long requests() {
            return mReceived.count(TableRequest.class);
        }

        long newFrames() {
            return mReceived.count(EvidenceReportMessage.class)
                    + mReceived.count(WaitingRequestsMessage.class);
        }

        @Override
        public void close() {
            mServer.close();
        }
    }
}
