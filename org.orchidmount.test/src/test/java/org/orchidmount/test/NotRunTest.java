/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.orchidmount.junit.Caller;
import org.orchidmount.junit.Cluster;
import org.orchidmount.junit.ClusterPlan;
import org.orchidmount.junit.EngineFaults;
import org.orchidmount.junit.FakeModel;
import org.orchidmount.junit.FaultProxy;
import org.orchidmount.junit.PlainFaults;

/**
 * Promises: a refusal that says "not run" is true; what may not be repeated runs at most once; no
 * caller gets another's answer. Checked against the stand-ins' own lists over thousands of requests
 * under faults.
 */
class NotRunTest {
    private static final int REQUESTS = 4_000;
    private static final int AT_ONCE = 96;
    private static final int ENTRIES = 2;
    private static final int TOKENS = 5;

    @TempDir Path mFolder;

    private final Set<String> mNotRun = ConcurrentHashMap.newKeySet();
    private final Map<String, AtomicInteger> mOutcomes = new ConcurrentHashMap<>();
    private final Map<String, String> mNotRunKeys = new ConcurrentHashMap<>();
    private final Queue<String> mWrongAnswers = new ConcurrentLinkedQueue<>();

    @Test
    void notRunIsTrueUnderFaults() throws Exception {
        ClusterPlan plan = ClusterPlan.of(ENTRIES, 2, 2, 2).withProxies();
        try (Cluster cluster = Cluster.start(mFolder, plan)) {
            EngineFaults engineFaults = new EngineFaults(5, 5, 5, 1, 1, 5, 5, false, 1);
            cluster.engineNames().forEach(engine -> cluster.setFaults(engine, engineFaults));
            for (String plain : new String[] {"plain-1", "plain-2"}) {
                cluster.setFaults(plain, new PlainFaults(0, 3, 3));
            }
            runLoad(cluster);
            check(cluster);
        }
    }

    private void runLoad(Cluster cluster) throws InterruptedException {
        Semaphore slots = new Semaphore(AT_ONCE);
        SplittableRandom faults = new SplittableRandom(7);
        try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int i = 0; i < REQUESTS; i++) {
                slots.acquire();
                int number = i;
                threads.execute(
                        () -> {
                            try {
                                send(cluster, number);
                            } finally {
                                slots.release();
                            }
                        });
                if (i % 50 == 0) {
                    disturb(cluster, faults);
                }
            }
        }
        cluster.upstreamNames().forEach(name -> cluster.proxy(name).set(FaultProxy.Mode.clear()));
    }

    /** Refuses or cuts the connections of one upstream, and lets all others pass. */
    private static void disturb(Cluster cluster, SplittableRandom random) {
        cluster.upstreamNames().forEach(name -> cluster.proxy(name).set(FaultProxy.Mode.clear()));
        String victim = cluster.upstreamNames().get(random.nextInt(cluster.upstreamNames().size()));
        if (random.nextBoolean()) {
            cluster.proxy(victim).set(new FaultProxy.Mode(0, false, false, true));
        }
        cluster.proxy(victim).cutAll();
    }

    private void send(Cluster cluster, int number) {
        Caller caller = cluster.caller(number % ENTRIES, Cluster.MILL_KEY);
        try {
            switch (number % 4) {
                case 0, 1 -> complete(caller, number);
                case 2 -> lookup(caller, number);
                default -> confirm(caller, number);
            }
        } catch (IOException | UncheckedIOException e) {
            count("connection broken");
        }
    }

    private void complete(Caller caller, int number) throws IOException {
        String prompt = "order " + number;
        Map<String, String> headers =
                number % 8 == 0 ? Map.of("Orchidmount-Deadline-Millis", "1") : Map.of();
        Caller.Answer answer =
                caller.complete(
                        Caller.completion(prompt, TOKENS, number % 2 == 0), headers, offset -> {});
        note(answer.outcome(), answer.requestId());
        String expected = FakeModel.answer(prompt, TOKENS);
        boolean right =
                answer.outcome().equals("completed")
                        ? answer.text().equals(expected)
                        : expected.startsWith(answer.text());
        if (!right) {
            mWrongAnswers.add("completion " + answer + ", not " + expected);
        }
    }

    private void lookup(Caller caller, int number) throws IOException {
        String path = "/lookup/order?number=" + number;
        HttpResponse<String> response = caller.get(path);
        String outcome = outcome(response);
        note(outcome, id(response));
        if (outcome.equals("completed")) {
            checkBody(response, path);
        }
    }

    private void confirm(Caller caller, int number) {
        String key = "lot-" + number;
        for (int attempt = 0; attempt < 2; attempt++) {
            HttpResponse<String> response =
                    caller.post("/confirm/lot", "{}", Map.of("Idempotency-Key", key));
            note(outcome(response), id(response));
            if (outcome(response).equals("not-run")) {
                mNotRunKeys.put(id(response), key);
            } else if (outcome(response).equals("completed")) {
                checkBody(response, key);
            }
        }
    }

    private void checkBody(HttpResponse<String> response, String expected) {
        if (!response.body().contains("\"" + expected + "\"")) {
            mWrongAnswers.add(response + " " + response.body() + ", not " + expected);
        }
    }

    private void check(Cluster cluster) {
        Set<String> executed = new HashSet<>();
        Map<String, Integer> byKey = new HashMap<>();
        for (String upstream : cluster.upstreamNames()) {
            JsonNode json =
                    new Caller(cluster.upstreamUrl(upstream), "").getJson("/test/executions");
            json.path("ids").forEach(id -> executed.add(withoutAttempt(id.asText())));
            json.path("byId").fieldNames().forEachRemaining(executed::add);
            json.path("byKey")
                    .properties()
                    .forEach(e -> byKey.merge(e.getKey(), e.getValue().asInt(), Integer::sum));
        }
        Set<String> lies = new HashSet<>(mNotRun);
        lies.retainAll(executed);
        assertWithMessage("requests called not-run that ran; outcomes %s", mOutcomes)
                .that(lies)
                .isEmpty();
        assertThat(mWrongAnswers).isEmpty();
        byKey.forEach((key, count) -> assertWithMessage(key).that(count).isEqualTo(1));
        assertWithMessage("outcomes %s", mOutcomes).that(mNotRun.size()).isGreaterThan(100);
        int completed = mOutcomes.get("completed").get();
        assertWithMessage("outcomes %s", mOutcomes).that(completed).isGreaterThan(REQUESTS / 2);
        cluster.awaitMemoryFree();
    }

    private static String withoutAttempt(String engineRequestId) {
        return engineRequestId.replaceFirst("-[pd]\\d+$", "");
    }

    private void note(String outcome, String id) {
        count(outcome);
        if (outcome.equals("not-run")) {
            mNotRun.add(id);
        }
    }

    private void count(String outcome) {
        mOutcomes.computeIfAbsent(outcome, o -> new AtomicInteger()).incrementAndGet();
    }

    private static String outcome(HttpResponse<String> response) {
        return response.headers().firstValue("Orchidmount-Outcome").orElse("none");
    }

    private static String id(HttpResponse<String> response) {
        return response.headers().firstValue("Orchidmount-Request-Id").orElse("none");
    }
}
