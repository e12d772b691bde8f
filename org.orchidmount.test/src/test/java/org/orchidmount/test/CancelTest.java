/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.test;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.orchidmount.internal.json.Json;
import org.orchidmount.junit.Await;
import org.orchidmount.junit.Caller;
import org.orchidmount.junit.Cluster;
import org.orchidmount.junit.ClusterPlan;
import org.orchidmount.junit.EngineConfig;
import org.orchidmount.junit.EngineFaults;
import org.orchidmount.junit.RawCaller;

/** Promise: no engine memory stays held by requests whose callers are gone. */
class CancelTest {
    /** Engine memory is free again this long after the caller has gone. */
    private static final Duration BOUND = Duration.ofSeconds(2);

    private static final int PROMPT_CHARS = 60_000;

    @TempDir static Path sFolder;

    private static Cluster sCluster;

    @BeforeAll
    static void start() throws IOException {
        ClusterPlan plan = ClusterPlan.of(1, 1, 1, 0).withEngines(CancelTest::slow);
        sCluster = Cluster.start(sFolder, plan);
    }

    @AfterAll
    static void stop() {
        sCluster.close();
    }

    /** Prefill takes seconds, results are kept for a minute, memory holds one large request. */
    private static EngineConfig slow(EngineConfig base) {
        return new EngineConfig(
                base.name(),
                34_000_000,
                1_000,
                3_000,
                2_000,
                50,
                64,
                4,
                60_000,
                400_000_000,
                50,
                0,
                true);
    }

    /** Where a request is when its caller goes. */
    enum Stage {
        PREFILL,
        TRANSFER,
        DECODE
    }

    @ParameterizedTest
    @EnumSource(Stage.class)
    void freesEngineMemory(Stage stage) throws IOException {
        boolean stall = stage == Stage.TRANSFER;
        sCluster.setFaults("decode-1", new EngineFaults(0, 0, 0, 0, 0, 0, 0, stall, 1));
        try (RawCaller caller = new RawCaller(sCluster.callerUrl(0))) {
            int length = stage == Stage.PREFILL ? PROMPT_CHARS : 400;
            caller.post("/v1/completions", Cluster.MILL_KEY, body(length, 10_000));
            if (stage == Stage.DECODE) {
                caller.readUntil("data: ");
            } else {
                awaitPhase(stage == Stage.PREFILL ? "prefill" : "decode");
            }
            assertThat(Await.until("memory held", Await.LONG, () -> sCluster.kvBytesHeld() > 0))
                    .isNotNull();
        }
        Await.until(
                "engine memory is free after a cancel in " + stage,
                BOUND,
                () -> sCluster.kvBytesHeld() == 0 && sCluster.sumOfEngines("requests") == 0,
                () -> sCluster.entry(0).log());
        assertThat(requests()).isEmpty();
        sCluster.setFaults("decode-1", EngineFaults.none());
    }

    @Test
    void leavesQueueWithoutReachingAnEngine() throws IOException {
        try (RawCaller holder = new RawCaller(sCluster.callerUrl(0))) {
            holder.post("/v1/completions", Cluster.MILL_KEY, body(4_000, 20_000));
            holder.readUntil("data: ");
            List<String> before = executions();
            try (RawCaller waiting = new RawCaller(sCluster.callerUrl(0))) {
                waiting.post("/v1/completions", Cluster.MILL_KEY, body(4_000, 20_000));
                awaitPhase("queued");
            }
            Await.until("the queue is empty", BOUND, () -> phases().equals(List.of("decode")));
            assertThat(executions()).isEqualTo(before);
        }
        Await.until("memory is free", BOUND, () -> sCluster.kvBytesHeld() == 0);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void wholeAnswerAfterManyCancels(boolean stream) throws IOException {
        for (int i = 0; i < 10; i++) {
            try (RawCaller caller = new RawCaller(sCluster.callerUrl(0))) {
                caller.post("/v1/completions", Cluster.MILL_KEY, body(400, 5_000));
            }
        }
        Caller.Answer answer =
                sCluster.caller(0, Cluster.MILL_KEY)
                        .complete(Caller.completion("and now?", 5, stream));
        assertThat(answer.outcome()).isEqualTo("completed");
        sCluster.awaitMemoryFree();
    }

    private static String body(int promptChars, int maxTokens) {
        return Json.text(Caller.completion("loom ".repeat(promptChars / 5), maxTokens, true));
    }

    private static void awaitPhase(String phase) {
        Await.until("a request in phase " + phase, Await.LONG, () -> phases().contains(phase));
    }

    private static List<String> phases() {
        return requests().valueStream().map(request -> request.path("phase").asText()).toList();
    }

    private static JsonNode requests() {
        return new Caller(sCluster.operatorUrl(0), Cluster.OPERATOR_TOKEN).getJson("/v1/requests");
    }

    private static List<String> executions() {
        return new Caller(sCluster.upstreamUrl("prefill-1"), "")
                .getJson("/test/executions")
                .path("ids")
                .valueStream()
                .map(JsonNode::asText)
                .toList();
    }
}
