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
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.clock.SystemMonotonicClock;
import org.orchidmount.consensus.Timing;
import org.orchidmount.junit.Await;
import org.orchidmount.junit.ManualClock;
import org.orchidmount.load.InFlightSequence;
import org.orchidmount.membership.Incarnation;
import org.orchidmount.membership.Registration;
import org.orchidmount.quota.QuotaAnswer;
import org.orchidmount.quota.QuotaLimit;
import org.orchidmount.quota.QuotaRequest;
import org.orchidmount.routes.CallerLimits;
import org.orchidmount.routes.ClientAccounts;
import org.orchidmount.routes.RouteTable;

/** Real voters and an entry, linked over loopback. */
final class VoterNodeTest {
    private static final Duration LONGEST = Duration.ofSeconds(30);
    private static final int VOTERS = 3;

    /** Units that are soon used up, and come back long after any test. */
    private static final long BURST = 100;

    private static final QuotaLimit LIMIT =
            new QuotaLimit(0.001, BURST, 1_000, Duration.ofSeconds(8));

    /** The availability zone of the first voter; the others are in another. */
    private static final String ZONE = "zone-0";

    @TempDir Path mFolder;
    private final List<HostPort> mAddresses = new ArrayList<>();
    private final List<VoterNode> mVoters = new ArrayList<>();
    private final Map<String, Registration> mSeen = new ConcurrentHashMap<>();
    private final Queue<InFlightSequence> mAnnounced = new ConcurrentLinkedQueue<>();
    private EntryNode mEntry;

    @BeforeEach
    void start() throws IOException {
        for (int i = 0; i < VOTERS; i++) {
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                mAddresses.add(new HostPort("127.0.0.1", socket.getLocalPort()));
            }
        }
        for (int i = 0; i < VOTERS; i++) {
            mVoters.add(voter(i, true));
        }
        mEntry = entry("entry", ZONE, mAnnounced);
    }

    private EntryNode entry(String name, String zone, Collection<InFlightSequence> announced) {
        return entry(name, zone, announced, new SystemMonotonicClock());
    }

    private EntryNode entry(
            String name,
            String zone,
            Collection<InFlightSequence> announced,
            MonotonicClock clock) {
        return new EntryNode(
                name,
                zone,
                List.of(mAddresses.getFirst()),
                VoterNodeTest::parse,
                new Listener(mSeen, announced),
                clock);
    }

    private record Listener(Map<String, Registration> seen, Collection<InFlightSequence> announced)
            implements EntryNode.Listener {
        @Override
        public void onRegistration(Registration registration) {
            seen.put(registration.id(), registration);
        }

        @Override
        public void onSequence(InFlightSequence sequence) {
            announced.add(sequence);
        }
    }

    @AfterEach
    void stop() {
        mEntry.close();
        mVoters.forEach(VoterNode::close);
    }

    @Test
    void anAcceptedTableComesIntoForceAndIsReadAgain() {
        put(1);
        put(7);
        Await.until("table in force", LONGEST, () -> versionInForce() == 7);
        assertThat(mEntry.isReady()).isTrue();
        assertThat(read()).isEqualTo("7");
        put(3);
        assertThat(read()).isEqualTo("7");
    }

    /**
     * What a strict bound on withdrawn keys rests on: an entry knows how old its table's word is.
     */
    @Test
    void anEntryKnowsForHowLongNobodyHasConfirmedItsTable() {
        put(1);
        Await.until("table in force", LONGEST, () -> versionInForce() == 1);
        Await.until(
                "confirmed again and again",
                LONGEST,
                () -> mEntry.timeSinceConfirmation().compareTo(Duration.ofMillis(100)) < 0);
        mVoters.forEach(VoterNode::close);
        mVoters.clear();
        Await.until(
                "no longer confirmed",
                LONGEST,
                () -> mEntry.timeSinceConfirmation().compareTo(Duration.ofMillis(1_500)) > 0);
    }

    /** All entries ask one owner, so what one has used another cannot use. */
    @Test
    void unitsOfALimitAreGrantedByOneOwnerToAllEntries() {
        try (EntryNode other = entry("other", "zone-1", new ConcurrentLinkedQueue<>())) {
            awaitGrant(mEntry, "warm");
            awaitGrant(other, "warm");
            assertThat(take(mEntry, "a", BURST + 1)).isEqualTo(QuotaAnswer.Outcome.GRANTED);
            assertThat(take(other, "a", 1)).isEqualTo(QuotaAnswer.Outcome.EXCEEDED);
            assertThat(take(other, "b", 1)).isEqualTo(QuotaAnswer.Outcome.GRANTED);
            mEntry.refund("a", BURST + 1);
            awaitGrant(other, "a");
        }
    }

    @Test
    void whoeverLeadsNextOwnsTheLimits() {
        awaitGrant(mEntry, "warm");
        mVoters.removeFirst().close();
        awaitGrant(mEntry, "a");
        Await.until(
                "an owner counts again",
                LONGEST,
                () -> take(mEntry, "a", BURST + 1) == QuotaAnswer.Outcome.EXCEEDED);
    }

    private static void awaitGrant(EntryNode entry, String key) {
        Await.until("granted", LONGEST, () -> take(entry, key, 1) == QuotaAnswer.Outcome.GRANTED);
    }

    private static QuotaAnswer.Outcome take(EntryNode entry, String key, long units) {
        CompletableFuture<QuotaAnswer> answer =
                entry.requestUnits(new QuotaRequest(key, LIMIT, 1, units));
        return answer.completeOnTimeout(
                        QuotaAnswer.NO_OWNER, LONGEST.toMillis(), TimeUnit.MILLISECONDS)
                .join()
                .outcome();
    }

    /** After a restart of all instances a refusal would use up the only retry of a caller. */
    @Test
    void aRequestWaitsForTheFirstTableOfAnEntryThatHasJustStarted() throws Exception {
        try (EntryNode entry =
                entry("new", ZONE, new ConcurrentLinkedQueue<>(), new ManualClock())) {
            CompletableFuture<Optional<RouteTable>> table = new CompletableFuture<>();
            Thread.ofVirtual()
                    .start(
                            () -> {
                                try {
                                    table.complete(entry.awaitTable(LONGEST));
                                } catch (InterruptedException e) {
                                    table.completeExceptionally(e);
                                }
                            });
            put(1);
            assertThat(table.get(LONGEST.toSeconds(), TimeUnit.SECONDS).get().version())
                    .isEqualTo(1);
        }
    }

    @Test
    void aRequestDoesNotWaitForATableThatIsLongOverdue() throws Exception {
        ManualClock clock = new ManualClock();
        try (EntryNode entry = entry("old", ZONE, new ConcurrentLinkedQueue<>(), clock)) {
            clock.advance(Duration.ofSeconds(1));
            assertThat(entry.awaitTable(LONGEST)).isEmpty();
        }
    }

    @Test
    void whatOneEntryGivesToAnEngineIsToldToTheOthers() {
        put(1);
        Await.until("table in force", LONGEST, () -> versionInForce() == 1);
        InFlightSequence sequence =
                new InFlightSequence(
                        Incarnation.ofUnknownStart("i-1"), "r-1", 5_000, 4_000, 10_000, 0, false);
        try (EntryNode other = entry("other", ZONE, new ConcurrentLinkedQueue<>())) {
            Await.until("table in force", LONGEST, () -> other.table().isPresent());
            other.begin(sequence, () -> 700);
            Await.until(
                    "told again", LONGEST, () -> mAnnounced.contains(sequence.withGenerated(700)));
            other.end(sequence.asEnded());
            Await.until("told its end", LONGEST, () -> mAnnounced.contains(sequence.asEnded()));
        }
        assertThat(mAnnounced)
                .containsAtLeast(sequence, sequence.withGenerated(700), sequence.asEnded())
                .inOrder();
    }

    /** An announcement crosses to each other zone once, also to one without a voter of its own. */
    @ParameterizedTest
    @ValueSource(strings = {ZONE, "zone-1", "zone-without-voter"})
    void whatAnEntryAnnouncesReachesEveryZone(String zone) {
        put(1);
        Await.until("table in force", LONGEST, () -> versionInForce() == 1);
        InFlightSequence sequence =
                new InFlightSequence(
                        Incarnation.ofUnknownStart("i-1"), "r-1", 5_000, 4_000, 10_000, 0, false);
        try (EntryNode other = entry("other", zone, new ConcurrentLinkedQueue<>())) {
            Await.until("table in force", LONGEST, () -> other.table().isPresent());
            other.begin(sequence, () -> 700);
            Await.until(
                    "progress", LONGEST, () -> mAnnounced.contains(sequence.withGenerated(700)));
            other.end(sequence.asEnded());
            Await.until("its end", LONGEST, () -> mAnnounced.contains(sequence.asEnded()));
        }
        assertThat(mAnnounced.stream().filter(InFlightSequence::ended)).hasSize(1);
    }

    @Test
    void anotherTableUnderTheSameVersionIsAConflict() {
        put(5);
        TableReply answer = ask(voter -> voter.putTable(5, "other".getBytes()));
        assertThat(answer).isEqualTo(new TableReply.Conflict(5));
        assertThat(ask(voter -> voter.putTable(5, "5".getBytes())))
                .isEqualTo(new TableReply.Accepted(5));
    }

    @Test
    void aVoterThatLostItsDiskIsReplacedAndNothingIsLost() throws IOException {
        put(4);
        for (int i = 0; i < VOTERS; i++) {
            mVoters.get(i).close();
            wipe(folder(i));
            mVoters.set(i, voter(i, false));
            awaitSuccessor(mVoters.get(i), mAddresses.get(i));
            put(5 + i);
        }
        assertThat(read()).isEqualTo("7");
    }

    @Test
    void aLeavingUpstreamIsKnownToTheEntry() {
        put(1);
        Registration ready =
                new Registration(
                        "i-1",
                        "s",
                        "10.0.0.9:80",
                        "a",
                        4,
                        Registration.Stage.NONE,
                        Registration.State.READY,
                        1);
        Await.until("registered", LONGEST, () -> isHeld(mVoters.getLast().register(ready)));
        Await.until("known", LONGEST, () -> mSeen.containsKey("i-1"));
        Await.until("left", LONGEST, () -> isHeld(mVoters.getFirst().deregister("i-1")));
        Await.until(
                "known as gone",
                LONGEST,
                () -> mSeen.get("i-1").state() == Registration.State.GONE);
    }

    @Test
    void aVoterWithoutItsPeersAcknowledgesNothing() {
        put(1);
        Await.until("table in force", LONGEST, () -> versionInForce() == 1);
        mVoters.get(1).close();
        mVoters.get(2).close();
        VoterNode left = mVoters.getFirst();
        Await.until(
                "quorum lost",
                LONGEST,
                () -> join(left.readTable()) instanceof TableReply.Unavailable);
        assertThat(isHeld(left.deregister("i-9"))).isFalse();
        assertThat(join(left.putTable(2, "2".getBytes())))
                .isInstanceOf(TableReply.Unavailable.class);
        assertThat(versionInForce()).isEqualTo(1);
    }

    private VoterNode voter(int index, boolean firstStart) throws IOException {
        List<VoterConfig.Seed> seeds =
                mAddresses.stream()
                        .map(address -> new VoterConfig.Seed(address, address.toString()))
                        .toList();
        VoterConfig.StageOrderConfig stages =
                new VoterConfig.StageOrderConfig(
                        Duration.ofSeconds(3),
                        Duration.ofSeconds(1),
                        0.33,
                        (order, held, statements) -> StageOrderClient.Result.REFUSED);
        HostPort address = mAddresses.get(index);
        return VoterNode.start(
                new VoterConfig(
                        "voter-" + index,
                        index == 0 ? ZONE : "zone-1",
                        address,
                        address.toString(),
                        seeds,
                        firstStart,
                        folder(index),
                        1,
                        Timing.defaults(),
                        stages),
                new SystemMonotonicClock());
    }

    /** Waits until a voter whose disk was lost votes again, under another identity. */
    private static void awaitSuccessor(VoterNode voter, HostPort address) {
        Await.until(
                "successor votes",
                LONGEST,
                () ->
                        join(voter.voters()).stream()
                                .filter(member -> member.address().equals(address.toString()))
                                .anyMatch(member -> !member.id().endsWith("/first")));
    }

    private Path folder(int index) {
        return mFolder.resolve("voter-" + index);
    }

    private static void wipe(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    private void put(long version) {
        byte[] document = Long.toString(version).getBytes(StandardCharsets.UTF_8);
        TableReply answer = ask(voter -> voter.putTable(version, document));
        assertThat(answer).isInstanceOf(TableReply.Accepted.class);
    }

    private String read() {
        TableReply.Current current = (TableReply.Current) ask(VoterNode::readTable);
        return new String(current.document(), StandardCharsets.UTF_8);
    }

    /** Asks all voters by turns until one gives an answer of its own. */
    private TableReply ask(Function<VoterNode, CompletableFuture<TableReply>> question) {
        List<TableReply> answers = new ArrayList<>();
        Await.until(
                "an answer",
                LONGEST,
                () -> {
                    for (VoterNode voter : mVoters) {
                        TableReply answer = join(question.apply(voter));
                        boolean own =
                                answer != null
                                        && !(answer instanceof TableReply.NotLeader)
                                        && !(answer instanceof TableReply.Unavailable);
                        if (own) {
                            answers.add(answer);
                            return true;
                        }
                    }
                    return false;
                });
        return answers.getFirst();
    }

    private static <T> T join(CompletableFuture<T> asked) {
        return asked.completeOnTimeout(null, 800, TimeUnit.MILLISECONDS).join();
    }

    private static boolean isHeld(CompletableFuture<Boolean> asked) {
        return Boolean.TRUE.equals(join(asked));
    }

    private long versionInForce() {
        return mEntry.table().map(RouteTable::version).orElse(0L);
    }

    private static RouteTable parse(byte[] document) {
        long version = Long.parseLong(new String(document, StandardCharsets.UTF_8));
        CallerLimits limits = new CallerLimits(1, Duration.ofSeconds(1));
        return new RouteTable(version, List.of(), Map.of(), limits, ClientAccounts.NONE);
    }
}
