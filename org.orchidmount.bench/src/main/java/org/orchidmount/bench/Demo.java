/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.orchidmount.internal.json.Json;
import org.orchidmount.junit.Caller;
import org.orchidmount.junit.Cluster;
import org.orchidmount.junit.ClusterPlan;
import org.orchidmount.junit.FakeModel;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * The program {@code bin/demo}: a whole small site on this machine.
 *
 * <p>It starts 3 entries, 2 prefill and 2 decode engines and a plain service, sends requests of all
 * kinds and ends with one JSON line. Its exit code is 0 if every answer was whole, nothing ran
 * twice and no engine memory stayed held. Used by one thread.
 */
@Command(
        name = "demo",
        description = "Runs a whole small site on this machine.",
        mixinStandardHelpOptions = true)
public final class Demo implements Callable<Integer> {
    private static final String COMPLETED = "completed";
    private static final int ENTRIES = 3;
    private static final int STREAMS = 30;
    private static final int LOOKUPS = 30;
    private static final int POSTS = 30;
    private static final int OUTPUT_TOKENS = 40;
    private static final long RELEASE_NANOS = 5_000_000_000L;

    @Option(names = "--keep", description = "Stay up and say what to type next.")
    private boolean mKeep;

    /**
     * Runs the program.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new Demo()).execute(arguments));
    }

    @Override
    public Integer call() throws Exception {
        Path folder = Files.createTempDirectory("orchidmount-demo");
        try (Cluster cluster = Cluster.start(folder, ClusterPlan.of(ENTRIES, 2, 2, 1))) {
            Runtime.getRuntime().addShutdownHook(new Thread(cluster::close));
            Counts counts = load(cluster);
            long held = awaitRelease(cluster);
            ObjectNode line = Json.object();
            line.put("requests", counts.mRequests);
            line.put("completed", counts.mCompleted);
            line.put("wholeAnswers", counts.mWhole);
            line.put("duplicateExecutions", duplicates(cluster));
            line.put("wastedPrefillTokens", cluster.sumOfEngines("wastedTokens"));
            line.put("kvBytesHeldAfter", held);
            System.out.println(Json.text(line));
            if (mKeep) {
                explain(cluster, folder);
                Thread.currentThread().join();
            }
            boolean good =
                    counts.mWhole == counts.mRequests && duplicates(cluster) == 0 && held == 0;
            return good ? 0 : 1;
        }
    }

    private static Counts load(Cluster cluster) throws Exception {
        Counts counts = new Counts();
        List<Future<Result>> results = new ArrayList<>();
        try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int i = 0; i < STREAMS; i++) {
                int number = i;
                results.add(threads.submit(() -> stream(cluster, number)));
            }
            for (int i = 0; i < LOOKUPS; i++) {
                int number = i;
                results.add(threads.submit(() -> lookup(cluster, number)));
            }
            for (int i = 0; i < POSTS; i++) {
                int number = i;
                results.add(threads.submit(() -> post(cluster, number)));
            }
            for (Future<Result> result : results) {
                counts.mRequests++;
                counts.mCompleted += result.get().completed() ? 1 : 0;
                counts.mWhole += result.get().whole() ? 1 : 0;
            }
        }
        return counts;
    }

    private static Result stream(Cluster cluster, int number) throws IOException {
        String prompt = "loom schedule " + number % 3 + " ".repeat(2_000) + "order " + number;
        Caller caller = cluster.caller(number % ENTRIES, Cluster.MILL_KEY);
        Caller.Answer answer = caller.complete(Caller.completion(prompt, OUTPUT_TOKENS, true));
        boolean whole = answer.text().equals(FakeModel.answer(prompt, OUTPUT_TOKENS));
        return new Result(answer.outcome().equals(COMPLETED), whole);
    }

    private static Result lookup(Cluster cluster, int number) throws IOException {
        Caller caller = cluster.caller(number % ENTRIES, Cluster.FERRY_KEY);
        String path = "/lookup/seat-map?boat=" + number;
        HttpResponse<String> response = caller.get(path);
        String answered = Json.MAPPER.readTree(response.body()).path("path").asText();
        return new Result(isCompleted(response), answered.equals(path));
    }

    private static Result post(Cluster cluster, int number) throws IOException {
        Caller caller = cluster.caller(number % ENTRIES, Cluster.MILL_KEY);
        String key = "lot-" + number;
        HttpResponse<String> response =
                caller.post(
                        "/confirm/lot", "{\"lot\":" + number + "}", Map.of("Idempotency-Key", key));
        HttpResponse<String> again =
                caller.post(
                        "/confirm/lot", "{\"lot\":" + number + "}", Map.of("Idempotency-Key", key));
        return new Result(isCompleted(response), response.body().equals(again.body()));
    }

    private static boolean isCompleted(HttpResponse<String> response) {
        String outcome = response.headers().firstValue("Orchidmount-Outcome").orElse("");
        return response.statusCode() == StatusCodes.OK && outcome.equals(COMPLETED);
    }

    private static long duplicates(Cluster cluster) {
        Map<String, Integer> executions = new HashMap<>();
        JsonNode byKey =
                new Caller(cluster.upstreamUrl("plain-1"), "")
                        .getJson("/test/executions")
                        .path("byKey");
        byKey.properties().forEach(e -> executions.put(e.getKey(), e.getValue().asInt()));
        return executions.values().stream().filter(count -> count > 1).count();
    }

    private static long awaitRelease(Cluster cluster) throws InterruptedException {
        long endNanos = System.nanoTime() + RELEASE_NANOS;
        long held = cluster.kvBytesHeld();
        while (held > 0 && System.nanoTime() < endNanos) {
            Thread.sleep(20);
            held = cluster.kvBytesHeld();
        }
        return held;
    }

    private static void explain(Cluster cluster, Path folder) {
        String callers = cluster.callerUrl(0);
        String operators = cluster.operatorUrl(0);
        System.out.printf(
                """

                The site stays up until you press Ctrl-C. Logs, settings and data are in %s.
                Try, in another terminal:

                curl -N %s/v1/completions -H 'Authorization: Bearer %s' \\
                  -H 'Content-Type: application/json' \\
                  -d '{"model":"%s","prompt":"can this order run?","max_tokens":20,"stream":true}'
                curl %s/lookup/seat-map?boat=7 -H 'Authorization: Bearer %s'
                curl %s/confirm/lot -H 'Authorization: Bearer %s' \\
                  -H 'Idempotency-Key: lot-1001' -d '{"lot":1001}'
                curl %s/v1/status -H 'Authorization: Bearer %s'
                export ORCHIDMOUNT_OPERATORS=%s ORCHIDMOUNT_TOKEN=%s
                bin/orchidmount upstreams
                bin/orchidmount drain decode-1
                %n\
                """,
                folder,
                callers,
                Cluster.MILL_KEY,
                Cluster.MODEL,
                callers,
                Cluster.FERRY_KEY,
                callers,
                Cluster.MILL_KEY,
                operators,
                Cluster.OPERATOR_TOKEN,
                operators,
                Cluster.OPERATOR_TOKEN);
    }

    /** What came of one request. */
    private record Result(boolean completed, boolean whole) {}

    private static final class Counts {
        private int mRequests;
        private int mCompleted;
        private int mWhole;
    }
}
