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
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.orchidmount.junit.Await;
import org.orchidmount.junit.Caller;
import org.orchidmount.junit.Cluster;
import org.orchidmount.junit.ClusterPlan;
import org.orchidmount.junit.FakeModel;
import org.orchidmount.junit.PlainFaults;
import org.orchidmount.junit.RawCaller;

/** Promise: a planned stop cuts no request in progress. */
class PlannedStopTest {
    private static final int STREAMS = 20;
    private static final int TOKENS = 500;
    private static final Map<String, Map<String, Object>> QUICK_NOTICE =
            Map.of("drain", Map.of("noticeMillis", 300));

    @TempDir Path mFolder;

    @Test
    void finishesRequestsAndRefusesNewOnesAsNotRun() throws Exception {
        ClusterPlan plan = ClusterPlan.of(1, 1, 2, 1).withSettings(QUICK_NOTICE);
        try (Cluster cluster = Cluster.start(mFolder, plan);
                ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            cluster.setFaults("plain-1", new PlainFaults(1_500, 0, 0));
            AtomicInteger started = new AtomicInteger();
            List<Future<Caller.Answer>> answers = new ArrayList<>();
            for (int i = 0; i < STREAMS; i++) {
                int number = i;
                answers.add(threads.submit(() -> stream(cluster, number, started)));
            }
            Await.until("streams run", Await.LONG, () -> started.get() == STREAMS);
            Future<Integer> confirmation = threads.submit(() -> confirm(cluster));
            Await.until("the confirmation runs", Await.LONG, () -> confirmations(cluster) == 1);
            try (RawCaller late = new RawCaller(cluster.callerUrl(0))) {
                cluster.entry(0).terminate();
                Await.until("readiness is red", Await.LONG, () -> !isReady(cluster));
                Await.until("new work is refused", Await.LONG, () -> refusesAsNotRun(cluster));
                assertThat(cluster.entry(0).awaitExit(0)).isEqualTo(-1);
                assertThat(late).isNotNull();
            }
            for (int i = 0; i < STREAMS; i++) {
                Caller.Answer answer = answers.get(i).get();
                assertWithMessage("stream %s", i).that(answer.outcome()).isEqualTo("completed");
                assertThat(answer.text()).isEqualTo(FakeModel.answer(prompt(i), TOKENS));
            }
            assertThat(confirmation.get()).isEqualTo(200);
            assertThat(cluster.entry(0).awaitExit(60)).isEqualTo(0);
            assertThat(cluster.kvBytesHeld()).isEqualTo(0);
        }
    }

    @Test
    void secondSignalBreaksOffAndTellsOutcome() throws Exception {
        ClusterPlan plan = ClusterPlan.of(1, 1, 1, 0).withSettings(QUICK_NOTICE);
        try (Cluster cluster = Cluster.start(mFolder, plan);
                ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            AtomicInteger started = new AtomicInteger();
            Future<Caller.Answer> answer =
                    threads.submit(() -> stream(cluster, 0, started, 20_000));
            Await.until("the stream runs", Await.LONG, () -> started.get() == 1);
            cluster.entry(0).terminate();
            Await.until("readiness is red", Await.LONG, () -> !isReady(cluster));
            cluster.entry(0).terminate();
            Caller.Answer cut = answer.get();
            assertThat(cut.outcome()).isEqualTo("unknown");
            assertThat(cut.error().path("outcome").asText()).isEqualTo("unknown");
            assertThat(cut.error().path("code").asText()).isEqualTo("stopping");
            assertThat(cut.isComplete()).isFalse();
            assertThat(cluster.entry(0).awaitExit(60)).isEqualTo(1);
            assertThat(cluster.entry(0).log()).contains(" INSTANCE_STOPS framing=CHUNKED ");
            cluster.awaitMemoryFree();
        }
    }

    private static Caller.Answer stream(Cluster cluster, int number, AtomicInteger started)
            throws IOException {
        return stream(cluster, number, started, TOKENS);
    }

    private static Caller.Answer stream(
            Cluster cluster, int number, AtomicInteger started, int tokens) throws IOException {
        return cluster.caller(0, Cluster.MILL_KEY)
                .complete(
                        Caller.completion(prompt(number), tokens, true),
                        Map.of(),
                        offset -> {
                            if (offset == 0) {
                                started.incrementAndGet();
                            }
                        });
    }

    private static int confirm(Cluster cluster) {
        return cluster.caller(0, Cluster.MILL_KEY)
                .post("/confirm/lot", "{}", Map.of("Idempotency-Key", "lot-1"))
                .statusCode();
    }

    private static int confirmations(Cluster cluster) {
        return new Caller(cluster.upstreamUrl("plain-1"), "")
                .getJson("/test/executions")
                .path("byKey")
                .path("lot-1")
                .asInt();
    }

    private static boolean isReady(Cluster cluster) {
        return cluster.caller(0, "").get("/readyz").statusCode() == 200;
    }

    private static boolean refusesAsNotRun(Cluster cluster) {
        try {
            Caller.Answer answer =
                    cluster.caller(0, Cluster.MILL_KEY)
                            .complete(Caller.completion("one more", 1, false));
            return answer.status() == 503 && answer.outcome().equals("not-run");
        } catch (IOException e) {
            return false;
        }
    }

    private static String prompt(int number) {
        return "order " + number;
    }
}
