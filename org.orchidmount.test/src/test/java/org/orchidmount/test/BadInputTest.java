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
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.orchidmount.junit.Caller;
import org.orchidmount.junit.Cluster;
import org.orchidmount.junit.ClusterPlan;
import org.orchidmount.junit.RawCaller;

/** Each kind of bad HTTP input gets its own clear answer, and reaches no upstream. */
class BadInputTest {
    private static final String JSON = "Content-Type: application/json\r\n";
    private static final String MILL = "Authorization: Bearer " + Cluster.MILL_KEY + "\r\n";
    private static final String COMPLETIONS = "POST /v1/completions HTTP/1.1\r\nHost: x\r\n";
    private static final String GOOD = "{\"model\":\"loom\",\"prompt\":\"p\",\"max_tokens\":1}";

    @TempDir static Path sFolder;

    private static Cluster sCluster;

    @BeforeAll
    static void start() throws IOException {
        Map<String, Map<String, Object>> settings =
                Map.of(
                        "callers",
                        Map.of(
                                "headerTimeoutMillis",
                                400,
                                "bodyTimeoutMillis",
                                400,
                                "maxBodyBytes",
                                100_000));
        ClusterPlan plan = ClusterPlan.of(1, 1, 1, 1).withSettings(settings);
        sCluster = Cluster.start(sFolder, plan);
    }

    @AfterAll
    static void stop() {
        sCluster.close();
    }

    static List<Arguments> requests() {
        return List.of(
                bad("no account", COMPLETIONS + JSON + body(GOOD), 401, "no_account"),
                bad(
                        "unknown account",
                        COMPLETIONS + JSON + "Authorization: Bearer no\r\n" + body(GOOD),
                        401,
                        "unknown_account"),
                bad(
                        "unknown class",
                        COMPLETIONS + JSON + MILL + "Orchidmount-Class: no\r\n" + body(GOOD),
                        400,
                        "unknown_class"),
                bad("bad JSON", COMPLETIONS + JSON + MILL + body("{\"model\":"), 400, "not_json"),
                bad("no object", COMPLETIONS + JSON + MILL + body("[1]"), 400, "not_json"),
                bad("no body", COMPLETIONS + JSON + MILL + body(""), 400, "not_json"),
                bad(
                        "unknown model",
                        good("{\"model\":\"x\",\"prompt\":\"p\"}"),
                        404,
                        "unknown_model"),
                bad("no model", good("{\"prompt\":\"p\"}"), 400, "bad_model"),
                bad("no prompt", good("{\"model\":\"loom\"}"), 400, "bad_prompt"),
                bad(
                        "empty prompt",
                        good("{\"model\":\"loom\",\"prompt\":\"\"}"),
                        400,
                        "bad_prompt"),
                bad(
                        "bad stream",
                        good("{\"model\":\"loom\",\"prompt\":\"p\",\"stream\":1}"),
                        400,
                        "bad_stream"),
                bad(
                        "too many tokens",
                        good("{\"model\":\"loom\",\"prompt\":\"p\",\"max_tokens\":99999999}"),
                        400,
                        "bad_max_tokens"),
                bad(
                        "two choices",
                        good("{\"model\":\"loom\",\"prompt\":\"p\",\"n\":2}"),
                        400,
                        "bad_n"),
                bad(
                        "wrong media type",
                        COMPLETIONS + MILL + "Content-Type: text/plain\r\n" + body(GOOD),
                        415,
                        "unsupported_media_type"),
                bad(
                        "bad deadline",
                        COMPLETIONS
                                + JSON
                                + MILL
                                + "Orchidmount-Deadline-Millis: soon\r\n"
                                + body(GOOD),
                        400,
                        "bad_Orchidmount-Deadline-Millis"),
                bad(
                        "body too large",
                        COMPLETIONS + JSON + MILL + "Content-Length: 100001\r\n\r\n",
                        413,
                        "body_too_large"),
                bad(
                        "wrong length: shorter body, sender waits",
                        COMPLETIONS + JSON + MILL + "Content-Length: 500\r\n\r\n" + GOOD,
                        408,
                        "body_too_slow"));
    }

    static List<Arguments> otherRequests() {
        return List.of(
                bad(
                        "wrong method",
                        "GET /v1/completions HTTP/1.1\r\nHost: x\r\n" + MILL + "\r\n",
                        405,
                        "wrong_method"),
                bad(
                        "unknown path",
                        "GET /nowhere HTTP/1.1\r\nHost: x\r\n" + MILL + "\r\n",
                        404,
                        "unknown_path"),
                bad(
                        "prefix is no whole segment",
                        "GET /lookups HTTP/1.1\r\nHost: x\r\n" + MILL + "\r\n",
                        404,
                        "unknown_path"),
                bad(
                        "no key",
                        "POST /confirm/lot HTTP/1.1\r\nHost: x\r\n" + MILL + body("{}"),
                        400,
                        "key_needed"),
                bad(
                        "bad resume token",
                        "GET /v1/resume HTTP/1.1\r\nHost: x\r\n"
                                + MILL
                                + "Orchidmount-Resume: e30.AAAA\r\n\r\n",
                        403,
                        "bad_resume_token"));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource({"requests", "otherRequests"})
    void isRefusedAsNotRun(String name, String request, int status, String code)
            throws IOException {
        try (RawCaller caller = new RawCaller(sCluster.callerUrl(0))) {
            caller.send(request);
            String answer = caller.readUntil("}}");
            assertWithMessage(answer).that(answer).startsWith("HTTP/1.1 " + status + " ");
            assertThat(answer).contains("\"code\":\"" + code + "\"");
            assertThat(answer).contains("Orchidmount-Outcome: not-run");
            assertThat(answer).contains("\"message\":\"");
        }
    }

    static List<Arguments> heads() {
        return List.of(
                Arguments.of("huge header", COMPLETIONS + "X: " + "y".repeat(40_000) + "\r\n\r\n"),
                Arguments.of("slow head", "POST /v1/compl"),
                Arguments.of("no HTTP", "\u0016\u0003\u0001\u0000\u0001\r\n\r\n"));
    }

    /** A head that cannot be read has no request to answer: the connection is closed. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("heads")
    void closesConnection(String name, String head) throws IOException {
        try (RawCaller caller = new RawCaller(sCluster.callerUrl(0))) {
            caller.send(head);
            String answer = caller.readAll();
            boolean refused = answer.isEmpty() || answer.startsWith("HTTP/1.1 4");
            assertWithMessage(answer).that(refused).isTrue();
        }
    }

    @Test
    void nothingReachedAnUpstream() {
        for (String upstream : sCluster.upstreamNames()) {
            var json = new Caller(sCluster.upstreamUrl(upstream), "").getJson("/test/executions");
            assertThat(json.path("ids").size() + json.path("byId").size()).isEqualTo(0);
        }
    }

    private static Arguments bad(String name, String request, int status, String code) {
        return Arguments.of(name, request, status, code);
    }

    private static String good(String body) {
        return COMPLETIONS + JSON + MILL + body(body);
    }

    private static String body(String body) {
        return "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }
}
