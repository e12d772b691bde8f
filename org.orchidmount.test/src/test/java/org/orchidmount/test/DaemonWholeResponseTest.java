/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.orchidmount.internal.json.Json;
import org.orchidmount.internal.keys.KeyHash;
import org.orchidmount.junit.Caller;
import org.orchidmount.junit.CallerKind;
import org.orchidmount.junit.Cluster;
import org.orchidmount.junit.ClusterPlan;
import org.orchidmount.junit.FramedResponse;
import org.orchidmount.junit.FramedResponse.Framing;
import org.orchidmount.junit.FramingCaller;

/** Promise: a response that a daemon has ended is whole for callers of each kind, slow or not. */
final class DaemonWholeResponseTest {
    private static final Duration LONGEST = Duration.ofSeconds(30);
    private static final int TOKENS = 100;
    private static final int SMALL_BUFFER_BYTES = 4 * 1024;

    /** In this time the daemon has ended a response that fits into the socket buffers. */
    private static final Duration UNREAD = Duration.ofMillis(400);

    /** Rows that make the table larger than the socket buffers. */
    private static final int ACCOUNTS = 1_000;

    @TempDir static Path sFolder;

    private static Cluster sCluster;

    /** What is asked for. */
    private enum Target {
        STREAM(0, "/v1/completions"),
        COMPLETION(0, "/v1/completions"),
        SMALL_BODY(1_000, "/big?bytes=1000"),
        LARGE_BODY(1_500_000, "/big?bytes=1500000"),
        LARGE_BODY_IN_CHUNKS(1_500_000, "/big?bytes=1500000&length=no");

        private final int mBytes;
        private final String mPath;

        Target(int bytes, String path) {
            mBytes = bytes;
            mPath = path;
        }

        void send(FramingCaller caller) throws IOException {
            String fields = "Host: x\r\nAuthorization: Bearer " + Cluster.MILL_KEY + "\r\n";
            if (mBytes > 0) {
                caller.send("GET", mPath, fields, "");
                return;
            }
            String body = Json.text(Caller.completion("order", TOKENS, this == STREAM));
            caller.send("POST", mPath, fields + "Content-Type: application/json\r\n", body);
        }

        Framing framing(CallerKind kind) {
            boolean isLengthKnown = this == COMPLETION || this == SMALL_BODY;
            boolean isHttp10 = kind.version().equals("HTTP/1.0");
            if (isLengthKnown || (isHttp10 && this == LARGE_BODY)) {
                return Framing.LENGTH;
            }
            return isHttp10 ? Framing.CLOSE : Framing.CHUNKED;
        }

        void check(String name, String body) {
            if (mBytes > 0) {
                assertWithMessage(name).that(body.length()).isEqualTo(mBytes);
            } else if (this == STREAM) {
                assertWithMessage(name).that(body).contains("\nid: " + (TOKENS - 1) + "\n");
                assertWithMessage(name).that(body).endsWith("data: [DONE]\n\n");
            } else {
                assertWithMessage(name).that(body).contains("\"completion_tokens\":" + TOKENS);
            }
        }
    }

    static Stream<Arguments> targets() {
        return Arrays.stream(Target.values()).flatMap(DaemonWholeResponseTest::withKinds);
    }

    static Stream<Arguments> operatorPaths() {
        return Stream.of("/metrics", "/v1/table", "/v1/audit", "/v1/status", "/v1/upstreams")
                .flatMap(DaemonWholeResponseTest::withKinds);
    }

    private static Stream<Arguments> withKinds(Object target) {
        return Arrays.stream(CallerKind.values()).map(kind -> Arguments.of(target, kind));
    }

    @BeforeAll
    static void start() throws IOException {
        sCluster = Cluster.start(sFolder, ClusterPlan.of(1, 1, 1, 1));
        Caller operator = new Caller(sCluster.operatorUrl(0), Cluster.OPERATOR_TOKEN);
        HttpResponse<String> changed = operator.post("/v1/changes", accounts(), Map.of());
        assertWithMessage(changed.body()).that(changed.statusCode()).isEqualTo(200);
    }

    @AfterAll
    static void stop() {
        sCluster.close();
    }

    private static String accounts() {
        ObjectNode change = Json.object().put("id", "accounts").put("comment", "many accounts");
        ArrayNode edits = change.putArray("edits");
        for (int i = 0; i < ACCOUNTS; i++) {
            edits.addObject()
                    .put("kind", "account")
                    .put("version", 0)
                    .putObject("row")
                    .put("name", "account-" + i)
                    .put("keySha256", KeyHash.of("key " + i))
                    .put("requestClass", "chat")
                    .put("weight", 1);
        }
        return Json.text(change);
    }

    @ParameterizedTest
    @MethodSource("targets")
    void aWholeResponseIsWhole(Target target, CallerKind kind) throws Exception {
        check(target, kind, 0, Duration.ZERO);
    }

    @ParameterizedTest
    @MethodSource("targets")
    void aWholeResponseIsWholeForASlowReader(Target target, CallerKind kind) throws Exception {
        check(target, kind, SMALL_BUFFER_BYTES, UNREAD);
    }

    private static void check(Target target, CallerKind kind, int bufferBytes, Duration unread)
            throws Exception {
        try (FramingCaller caller = connect(kind, "callers", bufferBytes)) {
            target.send(caller);
            Thread.sleep(unread);
            FramedResponse received = checkWhole(caller.read());
            String name = describe(received);
            assertWithMessage(name).that(received.framing()).isEqualTo(target.framing(kind));
            target.check(name, received.body());
            if (kind.keepsConnections() && received.framing() != Framing.CLOSE) {
                target.send(caller);
                target.check("the next one", checkWhole(caller.read()).body());
            }
        }
    }

    @ParameterizedTest
    @MethodSource("operatorPaths")
    void aResponseToOperatorsHasALength(String path, CallerKind kind) throws Exception {
        try (FramingCaller caller = connect(kind, "operators", SMALL_BUFFER_BYTES)) {
            String fields = "Host: x\r\nAuthorization: Bearer " + Cluster.OPERATOR_TOKEN + "\r\n";
            caller.send("GET", path, fields, "");
            Thread.sleep(UNREAD);
            FramedResponse received = checkWhole(caller.read());
            assertThat(received.framing()).isEqualTo(Framing.LENGTH);
            if (path.equals("/metrics")) {
                assertThat(received.body()).contains("\nresponse_aborted_upstream_failed_chunked ");
            } else {
                assertThat(Json.parse(received.body().getBytes(StandardCharsets.UTF_8)).isEmpty())
                        .isFalse();
            }
        }
    }

    /** Health is read by balancers, which often speak HTTP/1.0. */
    @ParameterizedTest
    @ValueSource(strings = {"callers", "operators"})
    void healthHasALength(String listener) throws Exception {
        for (CallerKind kind : CallerKind.values()) {
            try (FramingCaller caller = connect(kind, listener, 0)) {
                caller.send("GET", "/readyz", "Host: x\r\n", "");
                assertThat(checkWhole(caller.read()).framing()).isEqualTo(Framing.LENGTH);
            }
        }
    }

    private static FramingCaller connect(CallerKind kind, String listener, int bufferBytes)
            throws IOException {
        int port = sCluster.entry(0).port(listener);
        return new FramingCaller(kind, "127.0.0.1", port, LONGEST, bufferBytes);
    }

    private static FramedResponse checkWhole(FramedResponse received) {
        assertWithMessage(describe(received)).that(received.isComplete()).isTrue();
        assertWithMessage(describe(received)).that(received.status()).isEqualTo(200);
        return received;
    }

    private static String describe(FramedResponse received) {
        return "status=%d %s framing=%s end=%s bytes=%d"
                .formatted(
                        received.status(),
                        received.headers(),
                        received.framing(),
                        received.end(),
                        received.body().length());
    }
}
