/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.table;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.InstantSource;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.orchidmount.table.Change;
import org.orchidmount.table.ChangeResult;
import org.orchidmount.table.Edit;
import org.orchidmount.table.PoolRole;
import org.orchidmount.table.PoolRow;

/** Tests {@link FileTableStore}. */
class FileTableStoreTest {
    private static final int CHANGES = 300;

    @TempDir Path mFolder;

    private FileTableStore open() throws IOException {
        return FileTableStore.open(mFolder.resolve("table.log"), InstantSource.system());
    }

    private static Change change(int number) {
        PoolRow row = new PoolRow("pool-" + number % 10, PoolRole.PLAIN, number);
        return new Change(
                "change-" + number, "script", "", List.of(new Edit.Put(row, Edit.ANY_VERSION)));
    }

    @Test
    void restartKeepsEveryChangeAndItsFirstAnswer() throws IOException {
        try (FileTableStore store = open()) {
            for (int i = 1; i <= CHANGES; i++) {
                assertThat(store.apply(change(i)))
                        .isEqualTo(new ChangeResult.Accepted("change-" + i, i));
            }
        }
        try (FileTableStore store = open()) {
            assertThat(store.current().revision()).isEqualTo(CHANGES);
            assertThat(store.current().row(PoolRow.class, "pool-9").orElseThrow().maxRunning())
                    .isEqualTo(CHANGES - 1);
            assertThat(store.apply(change(7))).isEqualTo(new ChangeResult.Accepted("change-7", 7));
            assertThat(store.current().revision()).isEqualTo(CHANGES);
            assertThat(store.audit(CHANGES - 2, 10)).hasSize(2);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 9, 40})
    void tornLastLineIsCut(int lostBytes) throws IOException {
        try (FileTableStore store = open()) {
            store.apply(change(1));
            store.apply(change(2));
        }
        Path file = mFolder.resolve("table.log");
        byte[] content = Files.readAllBytes(file);
        Files.write(file, Arrays.copyOf(content, content.length - lostBytes));
        try (FileTableStore store = open()) {
            assertThat(store.current().revision()).isEqualTo(1);
            assertThat(store.apply(change(3))).isEqualTo(new ChangeResult.Accepted("change-3", 2));
        }
        try (FileTableStore store = open()) {
            assertThat(store.current().revision()).isEqualTo(2);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 12, 60})
    void otherDamageIsRefusedWithItsPlace(int offset) throws IOException {
        try (FileTableStore store = open()) {
            store.apply(change(1));
            store.apply(change(2));
        }
        Path file = mFolder.resolve("table.log");
        byte[] content = Files.readAllBytes(file);
        content[offset] ^= 1;
        Files.write(file, content);
        IOException thrown = Assertions.assertThrows(IOException.class, this::open);
        assertThat(thrown).hasMessageThat().contains("table.log at byte 0 is damaged");
    }
}
