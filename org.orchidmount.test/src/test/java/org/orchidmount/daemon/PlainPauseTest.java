/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.orchidmount.junit.StutteringUpstream;
import org.orchidmount.junit.StutteringUpstream.Answer;

/** Guards against calls to a plain service of the table that has asked to be left alone. */
final class PlainPauseTest {
    private static final int CALLS = 12;

    @TempDir Path mFolder;

    private static StutteringUpstream serving() {
        return new StutteringUpstream(call -> Answer.of(200, "served"));
    }

    private static StutteringUpstream pausing(String retryAfter) {
        return new StutteringUpstream(
                call -> Answer.of(503, "busy").with("Retry-After", retryAfter));
    }

    @ParameterizedTest
    @CsvSource({"60, true", "0, false", "soon, false"})
    void aServiceThatAsksForAPauseIsLeftAlone(String retryAfter, boolean isPause) throws Exception {
        try (StutteringUpstream pausing = pausing(retryAfter);
                StutteringUpstream serving = serving();
                TableEntry entry =
                        new TableEntry(
                                mFolder,
                                Map.of("plain-1", pausing.port(), "plain-2", serving.port()),
                                100)) {
            for (int i = 0; i < CALLS; i++) {
                entry.caller().get("/lookup/" + i);
            }
            if (isPause) {
                assertThat(pausing.calls()).hasSize(1);
                assertThat(serving.calls()).hasSize(CALLS - 1);
            } else {
                assertThat(pausing.calls().size()).isGreaterThan(1);
            }
        }
    }

    /** Callers learn when the pause ends. */
    @Test
    void whereTheOnlyServicePausesCallersAreRefusedUntilItsEnd() throws Exception {
        try (StutteringUpstream pausing = pausing("60");
                TableEntry entry =
                        new TableEntry(mFolder, Map.of("plain-1", pausing.port()), 100)) {
            entry.caller().get("/lookup/1");
            HttpResponse<String> refused = entry.caller().get("/lookup/2");
            assertThat(refused.statusCode()).isEqualTo(503);
            long seconds = refused.headers().firstValueAsLong("Retry-After").orElseThrow();
            assertThat(seconds).isAtLeast(30);
            assertThat(seconds).isAtMost(60);
            assertThat(pausing.calls()).hasSize(1);
        }
    }
}
