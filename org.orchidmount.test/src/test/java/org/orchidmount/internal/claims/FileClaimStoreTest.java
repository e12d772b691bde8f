/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.claims;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.orchidmount.claims.ClaimKey;
import org.orchidmount.claims.ClaimResult;
import org.orchidmount.claims.RecordedAnswer;

/** Tests {@link FileClaimStore}. */
class FileClaimStoreTest {
    private static final ClaimKey KEY = new ClaimKey("mill", "confirm", "lot-1");
    private static final RecordedAnswer ANSWER =
            new RecordedAnswer(201, "text/plain", "ok".getBytes(StandardCharsets.UTF_8), true);

    @TempDir Path mFolder;

    private Instant mNow = Instant.parse("2026-12-02T00:00:00Z");

    private FileClaimStore open() throws IOException {
        return new FileClaimStore(mFolder.resolve("claims.log"), () -> mNow);
    }

    @Test
    void secondClaimWaitsForTheFirst() throws IOException {
        try (FileClaimStore store = open()) {
            assertThat(store.claim(KEY, "h")).isInstanceOf(ClaimResult.Granted.class);
            ClaimResult.Running running = (ClaimResult.Running) store.claim(KEY, "h");
            assertThat(running.end().isDone()).isFalse();
            store.done(KEY, ANSWER);
            assertThat(running.end().join()).isEqualTo(new ClaimResult.Done(ANSWER));
            assertThat(store.claim(KEY, "other")).isInstanceOf(ClaimResult.Mismatch.class);
        }
    }

    @Test
    void releasedKeyMayBeClaimedAgain() throws IOException {
        try (FileClaimStore store = open()) {
            store.claim(KEY, "h");
            store.release(KEY);
            assertThat(store.claim(KEY, "h")).isInstanceOf(ClaimResult.Granted.class);
        }
    }

    @Test
    void restartKeepsAnswersAndMakesOpenClaimsUnknown() throws IOException {
        ClaimKey open = new ClaimKey("mill", "confirm", "lot-2");
        try (FileClaimStore store = open()) {
            store.claim(KEY, "h");
            store.done(KEY, ANSWER);
            store.claim(open, "h");
        }
        try (FileClaimStore store = open()) {
            ClaimResult.Done done = (ClaimResult.Done) store.claim(KEY, "h");
            assertThat(done.answer().body()).isEqualTo(ANSWER.body());
            assertThat(store.claim(open, "h")).isInstanceOf(ClaimResult.Unknown.class);
        }
    }

    @Test
    void claimsAreKeptForTheRetentionOnly() throws IOException {
        try (FileClaimStore store = open()) {
            store.claim(KEY, "h");
            store.unknown(KEY, "lost");
            mNow = mNow.plus(FileClaimStore.RETENTION);
            assertThat(store.claim(KEY, "h")).isInstanceOf(ClaimResult.Unknown.class);
            mNow = mNow.plus(Duration.ofSeconds(1));
            assertThat(store.claim(KEY, "h")).isInstanceOf(ClaimResult.Granted.class);
        }
    }
}
