/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.orchidmount.claims.ClaimKey;
import org.orchidmount.claims.ClaimResult;
import org.orchidmount.claims.RecordedAnswer;
import org.orchidmount.internal.claims.FileClaimStore;
import org.orchidmount.internal.table.FileTableStore;
import org.orchidmount.junit.Pin;
import org.orchidmount.table.Change;
import org.orchidmount.table.Edit;
import org.orchidmount.table.PoolRole;
import org.orchidmount.table.PoolRow;

/** The files that an instance keeps are written as they were, and what was written is read. */
final class StoredFilesPinTest {
    private static final HexFormat HEX = HexFormat.of();
    private static final InstantSource NOW =
            InstantSource.fixed(Instant.parse("2026-12-02T00:00:00Z"));
    private static final ClaimKey DONE = new ClaimKey("mill", "confirm", "lot-1");
    private static final ClaimKey RELEASED = new ClaimKey("mill", "confirm", "lot-2");
    private static final ClaimKey OPEN = new ClaimKey("mill", "confirm", "lot-3");
    private static final RecordedAnswer ANSWER =
            new RecordedAnswer(201, "text/plain", "ok".getBytes(StandardCharsets.UTF_8), true);

    @TempDir Path mFolder;

    @Test
    void theTableLogStaysAsItWas() throws IOException {
        Path file = mFolder.resolve("table.log");
        try (FileTableStore store = FileTableStore.open(file, NOW)) {
            store.apply(change("change-1", 4, Edit.ANY_VERSION));
            store.apply(change("change-2", 5, 1));
            store.apply(change("change-3", 6, 1));
        }
        Pin.check("table-log.hex", List.of(HEX.formatHex(Files.readAllBytes(file))));
    }

    @Test
    void aPinnedTableLogIsRead() throws IOException {
        Path file = mFolder.resolve("table.log");
        Files.write(file, HEX.parseHex(Pin.read("table-log.hex").getFirst()));
        try (FileTableStore store = FileTableStore.open(file, NOW)) {
            assertThat(store.current().revision()).isEqualTo(2);
            PoolRow row = store.current().row(PoolRow.class, "pool").orElseThrow();
            assertThat(row.maxRunning()).isEqualTo(5);
        }
    }

    private static Change change(String id, int maxRunning, long expectedVersion) {
        PoolRow row = new PoolRow("pool", PoolRole.PLAIN, maxRunning);
        return new Change(id, "script", "why", List.of(new Edit.Put(row, expectedVersion)));
    }

    @Test
    void theClaimsLogStaysAsItWas() throws IOException {
        Path file = mFolder.resolve("claims.log");
        try (FileClaimStore store = new FileClaimStore(file, NOW)) {
            store.claim(DONE, "hash");
            store.done(DONE, ANSWER);
            store.claim(RELEASED, "hash");
            store.release(RELEASED);
            store.claim(OPEN, "hash");
        }
        Pin.check("claims-log.hex", List.of(HEX.formatHex(Files.readAllBytes(file))));
    }

    @Test
    void aPinnedClaimsLogIsRead() throws IOException {
        Path file = mFolder.resolve("claims.log");
        Files.write(file, HEX.parseHex(Pin.read("claims-log.hex").getFirst()));
        try (FileClaimStore store = new FileClaimStore(file, NOW)) {
            RecordedAnswer answer = ((ClaimResult.Done) store.claim(DONE, "hash")).answer();
            assertThat(answer.status()).isEqualTo(ANSWER.status());
            assertThat(answer.contentType()).isEqualTo(ANSWER.contentType());
            assertThat(answer.body()).isEqualTo(ANSWER.body());
            assertThat(answer.complete()).isEqualTo(ANSWER.complete());
            assertThat(store.claim(RELEASED, "hash")).isInstanceOf(ClaimResult.Granted.class);
            assertThat(store.claim(OPEN, "hash")).isInstanceOf(ClaimResult.Unknown.class);
        }
    }
}
