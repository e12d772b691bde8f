/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.orchidmount.junit.CallerKind;
import org.orchidmount.junit.Cluster;
import org.orchidmount.junit.ClusterPlan;
import org.orchidmount.junit.FramedResponse;
import org.orchidmount.junit.FramedResponse.End;
import org.orchidmount.junit.FramedResponse.Framing;
import org.orchidmount.junit.FramingCaller;

/**
 * What a daemon responds to operators, and what it refuses, for each kind of caller: every response
 * has a length or comes in chunks, also while the daemon stops.
 */
final class DaemonResponsesTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    @TempDir static Path sFolder;

    private static Cluster sCluster;

    @BeforeAll
    static void start() throws IOException {
        sCluster = Cluster.start(sFolder, ClusterPlan.of(1, 1, 1, 1).withSettings(Map.of()));
    }

    @AfterAll
    static void stop() {
        sCluster.close();
    }

    private static FramedResponse call(
            String listener, CallerKind kind, String method, String path, String key, String body)
            throws IOException {
        int port = sCluster.entry(0).port(listener);
        String fields =
                "Host: x\r\nContent-Type: application/json\r\n"
                        + (key.isEmpty() ? "" : "Authorization: Bearer " + key + "\r\n");
        try (FramingCaller caller = new FramingCaller(kind, "127.0.0.1", port, TIMEOUT)) {
            caller.send(method, path, fields, body);
            return caller.read();
        }
    }

    /** Guards against responses that are cut with their daemon and look whole. */
    @ParameterizedTest
    @CsvSource({
        "operators, GET, /v1/table, true, '', 200",
        "operators, GET, /v1/audit, true, '', 200",
        "operators, GET, /v1/status, true, '', 200",
        "operators, GET, /v1/requests, true, '', 200",
        "operators, GET, /v1/upstreams, true, '', 200",
        "operators, GET, /metrics, true, '', 200",
        "operators, GET, /v1/nowhere, true, '', 404",
        "operators, GET, /v1/table, false, '', 401",
        "operators, POST, /v1/changes, true, '{', 400",
        "operators, POST, /v1/changes, false, '{', 401",
        "callers, GET, /nowhere, false, '', 404",
        "callers, GET, /nowhere, true, '', 404",
        "callers, POST, /v1/completions, true, '{', 400",
        "callers, POST, /v1/completions, false, '{', 401",
    })
    void everyResponseHasALengthOrChunks(
            String listener, String method, String path, boolean hasKey, String body, int status)
            throws Exception {
        String key = listener.equals("callers") ? Cluster.MILL_KEY : Cluster.OPERATOR_TOKEN;
        for (CallerKind kind : CallerKind.values()) {
            FramedResponse response = call(listener, kind, method, path, hasKey ? key : "", body);
            String all = kind + ": " + response;
            assertWithMessage(all).that(response.framing()).isEqualTo(Framing.LENGTH);
            assertWithMessage(all).that(response.isComplete()).isTrue();
            assertWithMessage(all).that(response.status()).isEqualTo(status);
        }
    }

    /** Guards against a daemon that answers until it is gone and is cut in order at its end. */
    @Test
    void noResponseOfAStoppingDaemonIsEndedByItsConnection() throws Exception {
        sCluster.entry(0).terminate();
        while (sCluster.entry(0).awaitExit(0) < 0) {
            for (CallerKind kind : CallerKind.values()) {
                try {
                    FramedResponse response =
                            call("operators", kind, "GET", "/metrics", Cluster.OPERATOR_TOKEN, "");
                    assertWithMessage(response.toString())
                            .that(response.framing())
                            .isAnyOf(Framing.LENGTH, Framing.NONE);
                    assertThat(response.end()).isNotEqualTo(End.TIMED_OUT);
                } catch (IOException e) {
                    // The listener has closed.
                    Thread.onSpinWait();
                }
            }
        }
        sCluster.restartEntry(0);
    }
}
