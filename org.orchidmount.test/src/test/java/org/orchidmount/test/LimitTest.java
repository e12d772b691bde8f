/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.test;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.orchidmount.junit.Await;
import org.orchidmount.junit.Caller;
import org.orchidmount.junit.Cluster;
import org.orchidmount.junit.ClusterPlan;
import org.orchidmount.junit.PlainFaults;
import org.orchidmount.pgm.Main;

/** Limits of the table hold on one instance and take effect while it runs. */
class LimitTest {
    private static final int REQUESTS = 6;
    private static final int TOKENS = 60;

    @TempDir static Path sFolder;

    private static Cluster sCluster;

    @BeforeAll
    static void start() throws IOException {
        sCluster = Cluster.start(sFolder, ClusterPlan.of(1, 1, 1, 1));
    }

    @AfterAll
    static void stop() {
        sCluster.close();
    }

    private static void set(String kind, String name, String assignment) {
        int code =
                Main.run(
                        "--operators",
                        sCluster.operatorUrl(0),
                        "--token",
                        Cluster.OPERATOR_TOKEN,
                        "table",
                        "set",
                        kind,
                        name,
                        assignment);
        assertThat(code).isEqualTo(0);
    }

    @ParameterizedTest
    @CsvSource({"account, mill", "class, bundle", "model, loom", "pool, decode", "pool, prefill"})
    void runningRequestsStayWithinTheLimit(String kind, String name) throws Exception {
        set(kind, name, "maxRunning=2");
        List<Future<Caller.Answer>> answers = new ArrayList<>();
        Overlap overlap = new Overlap();
        try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int i = 0; i < REQUESTS; i++) {
                ObjectNode body = Caller.completion(kind + name + i, TOKENS, true);
                answers.add(
                        threads.submit(
                                () ->
                                        sCluster.caller(0, Cluster.MILL_KEY)
                                                .complete(body, Map.of(), overlap::onToken)));
            }
            for (Future<Caller.Answer> answer : answers) {
                assertThat(answer.get().outcome()).isEqualTo("completed");
            }
        }
        assertThat(overlap.mMost.get()).isEqualTo(2);
        set(kind, name, "maxRunning=0");
    }

    /** Counts the answers between their first token and one well before their last. */
    private static final class Overlap {
        private final AtomicInteger mNow = new AtomicInteger();
        private final AtomicInteger mMost = new AtomicInteger();

        private void onToken(int offset) {
            if (offset == 0) {
                mMost.accumulateAndGet(mNow.incrementAndGet(), Math::max);
            } else if (offset == TOKENS / 2) {
                mNow.decrementAndGet();
            }
        }
    }

    /** Counts the requests that the router has placed, by its own list. */
    private static int running() {
        int count = 0;
        var list =
                new Caller(sCluster.operatorUrl(0), Cluster.OPERATOR_TOKEN).getJson("/v1/requests");
        for (var request : list) {
            count += request.path("phase").asText().equals("queued") ? 0 : 1;
        }
        return count;
    }

    @Test
    void plainCallBeyondTheLimitIsRefusedAsNotRun() throws Exception {
        sCluster.setFaults("plain-1", new PlainFaults(2_000, 0, 0));
        set("pool", "plain", "maxRunning=1");
        try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            Future<HttpResponse<String>> first = threads.submit(LimitTest::lookup);
            Await.until("the first runs", Await.LONG, () -> running() == 1);
            HttpResponse<String> second = lookup();
            assertThat(second.statusCode()).isEqualTo(429);
            assertThat(second.headers().firstValue("Orchidmount-Outcome")).hasValue("not-run");
            assertThat(second.headers().firstValue("Retry-After")).isPresent();
            assertThat(first.get().statusCode()).isEqualTo(200);
        }
        set("pool", "plain", "maxRunning=0");
        sCluster.setFaults("plain-1", PlainFaults.none());
    }

    private static HttpResponse<String> lookup() {
        return sCluster.caller(0, Cluster.FERRY_KEY).get("/lookup/x");
    }
}
