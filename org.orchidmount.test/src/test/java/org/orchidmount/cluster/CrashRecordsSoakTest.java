/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.orchidmount.junit.Await;
import org.orchidmount.quarantine.CrashRecord;
import org.orchidmount.quarantine.RequestFingerprint;

/**
 * Requests that crash each upstream come again and again while voters and entries end and start in
 * series: one voter, one entry, all voters, all entries. No request crashes more than three.
 * Further seeds by {@code -Dorchidmount.crash.soak=N}.
 */
final class CrashRecordsSoakTest {
    private static final int SEEDS = Integer.getInteger("orchidmount.crash.soak", 3);
    private static final int STEPS = 25;
    private static final int VOTERS = 3;
    private static final int ENTRIES = 3;
    private static final int REQUESTS = 3;
    private static final int MOST_CRASHES = 3;
    private static final Duration LONGEST = Duration.ofSeconds(20);

    @TempDir Path mFolder;
    private final Map<RequestFingerprint, Integer> mCrashes = new HashMap<>();
    private int mStarted;

    static LongStream seeds() {
        return LongStream.rangeClosed(1, SEEDS);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void noRequestCrashesMoreThanThree(long seed) throws IOException {
        Random random = new Random(seed);
        try (VoterSite site = new VoterSite(mFolder, VOTERS)) {
            for (int i = 0; i < ENTRIES; i++) {
                addEntry(site);
            }
            for (int i = 0; i < STEPS; i++) {
                step(site, random);
            }
        }
        mCrashes.forEach(
                (request, crashes) ->
                        assertWithMessage("crashes of %s, seed %s", request, seed)
                                .that(crashes)
                                .isAtMost(MOST_CRASHES));
    }

    private void step(VoterSite site, Random random) throws IOException {
        switch (random.nextInt(8)) {
            case 0 -> site.restartVoter(random.nextInt(VOTERS));
            case 1 -> {
                site.endEntry(site.entries().get(random.nextInt(ENTRIES)));
                addEntry(site);
            }
            case 2 -> site.restartVoters(() -> {});
            case 3 -> {
                awaitOnDisks(site);
                site.entries().forEach(site::endEntry);
                site.restartVoters(() -> {});
                for (int i = 0; i < ENTRIES; i++) {
                    addEntry(site);
                }
            }
            default -> runSomewhere(site, random);
        }
    }

    /** An entry knows what the voters know before it has a table, so it is waited for here. */
    private void addEntry(VoterSite site) {
        EntryNode entry = site.addEntry("entry-" + mStarted++);
        mCrashes.forEach((request, crashes) -> awaitKnown(entry, request, crashes));
    }

    private void runSomewhere(VoterSite site, Random random) {
        RequestFingerprint request =
                new RequestFingerprint("%032x".formatted(random.nextInt(REQUESTS)));
        EntryNode entry = site.entries().get(random.nextInt(ENTRIES));
        CrashRecord known = entry.crashes().find(request);
        if (known.isQuarantined()) {
            return;
        }
        CrashRecord after = known.afterCrash(0, 0);
        entry.crashes().merge(List.of(after));
        entry.announce(after);
        int crashes = mCrashes.merge(request, 1, Integer::sum);
        site.entries().forEach(each -> awaitKnown(each, request, crashes));
    }

    private static void awaitKnown(EntryNode entry, RequestFingerprint request, int crashes) {
        Await.until(
                crashes + " crashes are known",
                LONGEST,
                () -> entry.crashes().find(request).crashes() >= crashes);
    }

    private void awaitOnDisks(VoterSite site) {
        Await.until("all is on disk", LONGEST, () -> mCrashes.isEmpty() || isOnADisk(site));
    }

    private boolean isOnADisk(VoterSite site) {
        try {
            List<CrashRecord> written = RecordFile.crashes(site.folder(0)).read();
            return mCrashes.entrySet().stream()
                    .allMatch(
                            crashed ->
                                    written.stream().anyMatch(record -> covers(record, crashed)));
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private static boolean covers(
            CrashRecord record, Map.Entry<RequestFingerprint, Integer> crashed) {
        return record.fingerprint().equals(crashed.getKey())
                && record.crashes() >= crashed.getValue();
    }
}
