/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HexFormat;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.orchidmount.cluster.ClusterMessage.Greeting;
import org.orchidmount.cluster.ClusterMessage.UpstreamLimitRecords;
import org.orchidmount.junit.Await;
import org.orchidmount.membership.Incarnation;
import org.orchidmount.membership.Registration;
import org.orchidmount.pacing.UpstreamLimit;
import org.orchidmount.quota.QuotaAnswer;
import org.orchidmount.quota.QuotaLimit;
import org.orchidmount.quota.QuotaRequest;

/** What one entry hears of the limit of an upstream, all instances know. */
final class UpstreamLimitRecordsTest {
    private static final Duration LONGEST = Duration.ofSeconds(20);
    private static final Incarnation UPSTREAM = Incarnation.startedAt("i-1", 7);
    private static final QuotaRequest ASK =
            new QuotaRequest("u", new QuotaLimit(100, 100, 0, Duration.ofSeconds(4)), 1, 1);
    private static final int VOTERS = 3;

    @TempDir Path mFolder;
    private VoterSite mSite;

    @BeforeEach
    void start() throws IOException {
        mSite = new VoterSite(mFolder, VOTERS);
    }

    @AfterEach
    void stop() {
        mSite.close();
    }

    private static void hear(EntryNode entry, OptionalDouble perSecond) {
        entry.limits().observe(UPSTREAM, perSecond, Long.MAX_VALUE / 4).ifPresent(entry::announce);
    }

    private static void hear(EntryNode entry, double perSecond) {
        hear(entry, OptionalDouble.of(perSecond));
    }

    private static void awaitLimit(EntryNode entry, double perSecond) {
        Await.until(
                "a limit of " + perSecond,
                LONGEST,
                () ->
                        entry.limits()
                                .find(UPSTREAM)
                                .filter(known -> known.perSecond().getAsDouble() == perSecond)
                                .isPresent());
    }

    private void awaitLimitsAtVoters(int limits) {
        for (VoterNode voter : mSite.voters()) {
            Await.until(
                    "the voters know",
                    LONGEST,
                    () -> voter.upstreamLimits().join().size() == limits);
        }
    }

    @Test
    void changesReachAllAndSoDoesTheEnd() {
        EntryNode one = mSite.addEntry("one");
        EntryNode two = mSite.addEntry("two");
        hear(one, 4);
        awaitLimit(two, 4);
        hear(two, 8);
        awaitLimit(one, 8);
        hear(one, OptionalDouble.empty());
        Await.until("ended", LONGEST, () -> two.limits().find(UPSTREAM).isEmpty());
        awaitLimitsAtVoters(0);
    }

    @Test
    void anEntryThatStartsLaterKnows() {
        EntryNode one = mSite.addEntry("one");
        hear(one, 4);
        awaitLimitsAtVoters(1);
        mSite.endEntry(one);
        awaitLimit(mSite.addEntry("later"), 4);
    }

    @Test
    void theDisksOfTheVotersKeepIt() throws IOException {
        EntryNode one = mSite.addEntry("one");
        hear(one, 4);
        awaitLimitsAtVoters(1);
        Await.until("written", LONGEST, this::isOnEachDisk);
        mSite.endEntry(one);
        mSite.restartVoters(() -> {});
        awaitLimit(mSite.addEntry("later"), 4);
    }

    private boolean isOnEachDisk() {
        try {
            for (int i = 0; i < VOTERS; i++) {
                if (RecordFile.limits(mSite.folder(i)).read().isEmpty()) {
                    return false;
                }
            }
            return true;
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /** Voters would keep what no upstream states any more, and tell it to each new entry. */
    @Test
    void votersForgetUpstreamsThatHaveStartedAgain() {
        EntryNode one = mSite.addEntry("one");
        hear(one, 4);
        awaitLimitsAtVoters(1);
        Registration next =
                new Registration(
                        Incarnation.startedAt("i-1", 8),
                        "s",
                        "127.0.0.1:1",
                        "a",
                        1,
                        Registration.Stage.NONE,
                        Registration.State.READY,
                        1);
        assertThat(mSite.voters().getFirst().register(next).join()).isNotNull();
        awaitLimitsAtVoters(0);
    }

    @Test
    void theVoterThatLeadsCountsForAll() {
        EntryNode one = mSite.addEntry("one");
        Await.until("granted", LONGEST, () -> isGranted(one));
    }

    private static boolean isGranted(EntryNode entry) {
        return entry.upstreamQuotaClient().requestUnits(ASK).join().outcome()
                == QuotaAnswer.Outcome.GRANTED;
    }

    /** An instance that tells no capabilities is sent no frame that it does not know. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void onlyThoseThatTakeLimitsAreSentThem(boolean takes) throws IOException {
        EntryNode one = mSite.addEntry("one");
        CollectedMessages received = new CollectedMessages();
        Set<Capability> capabilities = takes ? Capability.own() : Set.of(Capability.CRASH_RECORDS);
        Socket socket = new Socket("127.0.0.1", mSite.address(0).port());
        try (Link link = new Link(socket, received)) {
            link.send(new Greeting(VoterNode.PROTOCOL, "old", "zone-0", null, capabilities));
            Thread.ofVirtual().start(link::run);
            Await.until("greeted", LONGEST, () -> received.count(ClusterMessage.Voters.class) > 0);
            hear(one, 4);
            awaitLimitsAtVoters(1);
            long notices = received.count(ClusterMessage.TableNotice.class);
            Await.until(
                    "a notice came after it",
                    LONGEST,
                    () -> received.count(ClusterMessage.TableNotice.class) > notices);
            assertThat(received.count(UpstreamLimitRecords.class)).isEqualTo(takes ? 1 : 0);
        }
    }

    @Test
    void limitsAreReadAsTheyWereWritten() throws IOException {
        List<UpstreamLimit> limits =
                List.of(
                        new UpstreamLimit(UPSTREAM, OptionalDouble.of(3.6), 2, "one"),
                        new UpstreamLimit(
                                Incarnation.ofUnknownStart("i-2"), OptionalDouble.empty(), 1, ""));
        UpstreamLimitCodec codec = new UpstreamLimitCodec();
        assertThat(codec.decode(codec.encode(limits))).isEqualTo(limits);
        UpstreamLimitRecords message = new UpstreamLimitRecords(limits);
        assertThat(ClusterCodec.decode(ClusterCodec.encode(message))).isEqualTo(message);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "91", "91a161c0cbbff0000000000000" + "01a0", "91a161c0c000a0"})
    void garbledLimitsAreRefused(String hex) {
        byte[] garbled = HexFormat.of().parseHex(hex);
        assertThrows(IOException.class, () -> new UpstreamLimitCodec().decode(garbled));
    }
}
