/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.quarantine;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.orchidmount.junit.ManualClock;

/** Tests {@code CrashRecord}. */
final class CrashRecordTest {
    private static final RequestFingerprint REQUEST = Fingerprints.of("a");

    /** Each place is the last event of the output when an upstream crashed. */
    @ParameterizedTest
    @CsvSource({
        "0, 1, false",
        "0 0, 2, false",
        "0 0 0, 3, true",
        "0 1 1, 3, true",
        "0 2, 1, false",
        "40 40 40, 3, true",
        "40 43 43, 3, true",
        "40 44, 1, false",
        "40 12 5, 1, false",
        "0 0 30, 1, false",
        "0 0 30 30 30, 3, true",
        "10 30 50 70 90, 1, false",
        "10 30 50 70 90 110, 1, true",
    })
    void isQuarantinedByThreeCrashesAtAPlaceOrSixAnywhere(
            String places, int crashesAtPosition, boolean isQuarantined) {
        CrashRecord record = CrashRecord.none(REQUEST);
        for (String place : places.split(" ")) {
            record = record.afterCrash(0, Long.parseLong(place));
        }
        assertThat(record.crashes()).isEqualTo(places.split(" ").length);
        assertThat(record.crashesAtPosition()).isEqualTo(crashesAtPosition);
        assertThat(record.isQuarantined()).isEqualTo(isQuarantined);
        assertThat(record.isSuspect()).isTrue();
    }

    /** Runs that were under way together know of no crash before, so they count once. */
    @Test
    void crashesAtTheSameMomentCountOnce() {
        CrashRegistry registry = new CrashRegistry(new ManualClock());
        CrashRecord known = registry.find(REQUEST);
        for (int i = 0; i < 10; i++) {
            registry.merge(List.of(known.afterCrash(0, 0)));
        }
        assertThat(registry.find(REQUEST).crashes()).isEqualTo(1);
    }

    @Test
    void aClearedRequestStaysClearedWhenAnOlderRecordComes() {
        CrashRecord quarantined =
                CrashRecord.none(REQUEST).afterCrash(0, 0).afterCrash(0, 0).afterCrash(0, 0);
        assertThat(quarantined.cleared().isNewerThan(quarantined)).isTrue();
        assertThat(quarantined.isNewerThan(quarantined.cleared())).isFalse();
        assertThat(quarantined.cleared().isSuspect()).isFalse();
    }

    /** Instances that receive the same records in any order, some twice, hold the same. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void theOrderOfRecordsDoesNotMatter(long seed) {
        Random random = new Random(seed);
        List<CrashRecord> made = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            CrashRecord from =
                    made.isEmpty() || random.nextInt(4) == 0
                            ? CrashRecord.none(Fingerprints.of("r" + random.nextInt(3)))
                            : made.get(random.nextInt(made.size()));
            made.add(
                    random.nextInt(5) == 0
                            ? from.cleared()
                            : from.afterCrash(0, random.nextInt(4)));
        }
        CrashRegistry one = registryOf(made);
        made.addAll(made.subList(0, 20));
        Collections.shuffle(made, random);
        CrashRegistry other = registryOf(made);
        for (int i = 0; i < 3; i++) {
            RequestFingerprint request = Fingerprints.of("r" + i);
            assertThat(other.find(request)).isEqualTo(one.find(request));
        }
    }

    private static CrashRegistry registryOf(List<CrashRecord> records) {
        CrashRegistry registry = new CrashRegistry(new ManualClock());
        records.forEach(record -> registry.merge(List.of(record)));
        return registry;
    }

    @ParameterizedTest
    @CsvSource({"-1, 0, 0, 0", "0, -1, 0, 0", "0, 0, -1, 0", "0, 0, 0, -1"})
    void negativeNumbersAreRefused(long epoch, int crashes, int crashesAtPosition, long position) {
        assertThrows(
                IllegalArgumentException.class,
                () -> new CrashRecord(REQUEST, epoch, crashes, crashesAtPosition, position));
    }
}
