/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.test;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.orchidmount.junit.Await;
import org.orchidmount.junit.Caller;
import org.orchidmount.junit.Cluster;
import org.orchidmount.junit.ClusterPlan;
import org.orchidmount.pgm.Main;

/** Promise: an upstream that is leaving receives no new work after a few seconds. */
class DrainTest {
    /** The promise's bound. */
    private static final Duration BOUND = Duration.ofSeconds(3);

    private static final int CALLERS = 8;

    @TempDir static Path sFolder;

    private static Cluster sCluster;

    @BeforeAll
    static void start() throws IOException {
        sCluster = Cluster.start(sFolder, ClusterPlan.of(2, 2, 2, 2));
    }

    @AfterAll
    static void stop() {
        sCluster.close();
    }

    @ParameterizedTest
    @ValueSource(strings = {"prefill-1", "decode-2", "plain-1"})
    void drainedUpstreamGetsNothingNew(String upstream) throws Exception {
        AtomicBoolean running = new AtomicBoolean(true);
        AtomicInteger served = new AtomicInteger();
        try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            List<Future<Integer>> failures = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                int number = i;
                failures.add(threads.submit(() -> load(number, running, served)));
            }
            try {
                drainAndUndrain(upstream, served);
            } finally {
                running.set(false);
            }
            for (Future<Integer> failed : failures) {
                assertThat(failed.get()).isEqualTo(0);
            }
        }
    }

    private static void drainAndUndrain(String upstream, AtomicInteger served) {
        Await.until(upstream + " is used", Await.LONG, () -> !executions(upstream).isEmpty());
        assertThat(command("drain", upstream)).isEqualTo(0);
        long drainedNanos = System.nanoTime();
        Await.until(
                "the bound is over",
                Await.LONG,
                () -> System.nanoTime() - drainedNanos > BOUND.toNanos());
        Set<String> before = executions(upstream);
        int servedBefore = served.get();
        Await.until("more is served", Await.LONG, () -> served.get() > servedBefore + 100);
        assertThat(executions(upstream)).isEqualTo(before);
        assertThat(command("undrain", upstream)).isEqualTo(0);
        Await.until(
                upstream + " is used again",
                Await.LONG,
                () -> executions(upstream).size() > before.size());
    }

    private static int command(String name, String upstream) {
        String both = sCluster.operatorUrl(0) + "," + sCluster.operatorUrl(1);
        return Main.run("--operators", both, "--token", Cluster.OPERATOR_TOKEN, name, upstream);
    }

    private static int load(int number, AtomicBoolean running, AtomicInteger served)
            throws IOException {
        int failures = 0;
        Caller caller = sCluster.caller(number % 2, Cluster.MILL_KEY);
        for (int i = 0; running.get(); i++) {
            String prompt = "order " + number + " of day " + i;
            Caller.Answer answer = caller.complete(Caller.completion(prompt, 3, false));
            HttpResponse<String> lookup = caller.get("/lookup/order");
            boolean good = answer.outcome().equals("completed") && lookup.statusCode() == 200;
            failures += good ? 0 : 1;
            served.incrementAndGet();
        }
        return failures;
    }

    private static Set<String> executions(String upstream) {
        var json = new Caller(sCluster.upstreamUrl(upstream), "").getJson("/test/executions");
        Set<String> ids = new HashSet<>();
        json.path("ids").forEach(id -> ids.add(id.asText()));
        json.path("byId").fieldNames().forEachRemaining(ids::add);
        return ids;
    }
}
