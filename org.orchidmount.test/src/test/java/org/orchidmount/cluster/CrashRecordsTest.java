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
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.orchidmount.cluster.ClusterMessage.CrashRecords;
import org.orchidmount.cluster.ClusterMessage.Greeting;
import org.orchidmount.junit.Await;
import org.orchidmount.quarantine.CrashRecord;
import org.orchidmount.quarantine.RequestFingerprint;

/** What one instance learns of a request that crashes upstreams, all others know. */
final class CrashRecordsTest {
    private static final Duration LONGEST = Duration.ofSeconds(20);
    private static final RequestFingerprint REQUEST =
            new RequestFingerprint("000102030405060708090a0b0c0d0e0f");

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

    private static void crash(EntryNode entry) {
        CrashRecord record = entry.crashes().find(REQUEST).afterCrash(0, 0);
        entry.crashes().merge(List.of(record));
        entry.announce(record);
    }

    private static void awaitCrashes(EntryNode entry, int crashes) {
        Await.until(
                crashes + " crashes are known",
                LONGEST,
                () -> entry.crashes().find(REQUEST).crashes() == crashes);
    }

    private void awaitCrashesAtVoters(int crashes) {
        for (VoterNode voter : mSite.voters()) {
            Await.until(
                    "the voters know",
                    LONGEST,
                    () -> voter.quarantined().join().size() == (crashes >= 3 ? 1 : 0));
        }
    }

    @Test
    void crashesAtSeveralEntriesAddUp() {
        EntryNode one = mSite.addEntry("one");
        EntryNode two = mSite.addEntry("two");
        crash(one);
        awaitCrashes(two, 1);
        crash(two);
        awaitCrashes(one, 2);
        crash(one);
        awaitCrashes(two, 3);
        awaitCrashesAtVoters(3);
        assertThat(two.crashes().find(REQUEST).isQuarantined()).isTrue();
    }

    @Test
    void anEntryThatStartsLaterKnows() {
        EntryNode one = mSite.addEntry("one");
        for (int i = 0; i < 3; i++) {
            crash(one);
        }
        awaitCrashesAtVoters(3);
        mSite.endEntry(one);
        awaitCrashes(mSite.addEntry("later"), 3);
    }

    @Test
    void votersThatHaveLostAllLearnItFromAnEntry() throws IOException {
        EntryNode one = mSite.addEntry("one");
        for (int i = 0; i < 3; i++) {
            crash(one);
        }
        awaitCrashesAtVoters(3);
        mSite.restartVoters(this::wipeRecords);
        awaitCrashesAtVoters(3);
    }

    private void wipeRecords() {
        try {
            for (int i = 0; i < VOTERS; i++) {
                Files.deleteIfExists(mSite.folder(i).resolve("crashes-a.state"));
                Files.deleteIfExists(mSite.folder(i).resolve("crashes-b.state"));
            }
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    @Test
    void theDisksOfTheVotersKeepIt() throws IOException {
        EntryNode one = mSite.addEntry("one");
        for (int i = 0; i < 3; i++) {
            crash(one);
        }
        awaitCrashesAtVoters(3);
        Await.until("written", LONGEST, this::isOnEachDisk);
        mSite.endEntry(one);
        mSite.restartVoters(() -> {});
        awaitCrashes(mSite.addEntry("later"), 3);
    }

    private boolean isOnEachDisk() {
        try {
            for (int i = 0; i < VOTERS; i++) {
                List<CrashRecord> written = RecordFile.crashes(mSite.folder(i)).read();
                if (written.stream().noneMatch(CrashRecord::isQuarantined)) {
                    return false;
                }
            }
            return true;
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /** An instance that tells no capabilities is sent no frame that it does not know. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void onlyThoseThatTakeRecordsAreSentThem(boolean takes) throws IOException {
        EntryNode one = mSite.addEntry("one");
        crash(one);
        CollectedMessages received = new CollectedMessages();
        Set<Capability> capabilities = takes ? Capability.own() : Set.of();
        Socket socket = new Socket("127.0.0.1", mSite.address(0).port());
        try (Link link = new Link(socket, received)) {
            link.send(new Greeting(VoterNode.PROTOCOL, "old", "zone-0", null, capabilities));
            Thread.ofVirtual().start(link::run);
            Await.until("greeted", LONGEST, () -> received.count(ClusterMessage.Voters.class) > 0);
            crash(one);
            crash(one);
            awaitCrashesAtVoters(3);
            Await.until(
                    "a notice came after it",
                    LONGEST,
                    () ->
                            received.count(ClusterMessage.TableNotice.class) > 1
                                    || received.count(CrashRecords.class) > 0);
            assertThat(received.count(CrashRecords.class) > 0).isEqualTo(takes);
        }
    }

    @Test
    void capabilitiesThatAreNotKnownArePassedOver() {
        assertThat(Capability.fromBits(0xff)).isEqualTo(Capability.own());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "91", "9194a03000", "9195a13000000000"})
    void garbledRecordsAreRefused(String hex) {
        byte[] garbled = HexFormat.of().parseHex(hex);
        assertThrows(IOException.class, () -> new CrashRecordCodec().decode(garbled));
    }

    @Test
    void aDamagedFileKeepsNoVoterFromStarting() throws IOException {
        Path folder = mFolder.resolve("damaged");
        RecordFile<CrashRecord> file = RecordFile.crashes(folder);
        file.write(List.of(CrashRecord.none(REQUEST).afterCrash(0, 0)));
        Path slot = folder.resolve("crashes-a.state");
        byte[] bytes = Files.readAllBytes(slot);
        bytes[bytes.length - 1] ^= 1;
        Files.write(slot, bytes);
        assertThat(RecordFile.crashes(folder).read()).isEmpty();
    }
}
