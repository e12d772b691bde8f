/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.bench;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.orchidmount.internal.json.Json;
import org.orchidmount.junit.Caller;
import org.orchidmount.junit.Cluster;
import org.orchidmount.junit.ClusterPlan;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * {@code bench overhead}: what a call through the router costs over a direct one.
 *
 * <p>One caller alternates direct and routed calls, so that both see the same machine; then many
 * callers load the lookup path, and the entry's processor time gives its requests a second per
 * core. Prints JSON lines. Used by one thread.
 */
@Command(
        name = "overhead",
        description = "Measures added latency and requests a second per core.",
        mixinStandardHelpOptions = true)
final class OverheadBench implements Callable<Integer> {
    private static final double MICROS_PER_MILLI = 1000;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int P99 = 99;
    private static final int P50 = 50;

    @Option(names = "--calls", defaultValue = "4000", description = "Counted calls of each kind.")
    private int mCalls;

    @Option(names = "--seconds", defaultValue = "8", description = "Time of the load.")
    private int mSeconds;

    @Option(names = "--callers", defaultValue = "32", description = "Callers of the load.")
    private int mCallers;

    @Override
    public Integer call() throws Exception {
        Path folder = Files.createTempDirectory("orchidmount-overhead");
        try (Cluster cluster = Cluster.start(folder, ClusterPlan.of(1, 1, 1, 1))) {
            Caller routed = cluster.caller(0, Cluster.MILL_KEY);
            Caller plain = new Caller(cluster.upstreamUrl("plain-1"), "");
            compare("lookup", () -> plain.get("/lookup/x"), () -> routed.get("/lookup/x"));
            compare("completion", () -> direct(cluster), () -> complete(routed));
            load(cluster);
        }
        return 0;
    }

    private void compare(String path, Call direct, Call routed) throws IOException {
        Histogram directMicros = new Histogram(3);
        Histogram routedMicros = new Histogram(3);
        for (int i = -mCalls / 2; i < mCalls; i++) {
            long directTook = time(direct);
            long routedTook = time(routed);
            if (i >= 0) {
                directMicros.recordValue(directTook);
                routedMicros.recordValue(routedTook);
            }
        }
        ObjectNode line = Json.object().put("measure", "latency").put("path", path);
        line.put("calls", mCalls);
        put(line, "directMillis", directMicros);
        put(line, "routedMillis", routedMicros);
        line.put("addedMedianMillis", added(routedMicros, directMicros, P50));
        line.put("added99thMillis", added(routedMicros, directMicros, P99));
        System.out.println(line);
    }

    private static double added(Histogram routed, Histogram direct, int percentile) {
        long micros =
                routed.getValueAtPercentile(percentile) - direct.getValueAtPercentile(percentile);
        return micros / MICROS_PER_MILLI;
    }

    private static void put(ObjectNode line, String name, Histogram micros) {
        ObjectNode json = line.putObject(name);
        json.put("median", micros.getValueAtPercentile(P50) / MICROS_PER_MILLI);
        json.put("99th", micros.getValueAtPercentile(P99) / MICROS_PER_MILLI);
    }

    private static long time(Call call) throws IOException {
        long startNanos = System.nanoTime();
        call.run();
        return TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNanos);
    }

    /** Does by hand what the router does for a completion: prefill, then decode. */
    private static void direct(Cluster cluster) throws IOException {
        String id = "direct-" + System.nanoTime();
        Map<String, String> headers =
                Map.of("X-Request-Id", id, "X-Instance", "bench", "X-Incarnation", "1");
        ObjectNode body = Caller.completion("is this order fit?", 1, false);
        body.putObject("kv_transfer_params").put("do_remote_decode", true);
        String prefilled =
                new Caller(cluster.upstreamUrl("prefill-1"), "")
                        .post("/v1/completions", Json.text(body), headers)
                        .body();
        ObjectNode transfer =
                (ObjectNode) Json.MAPPER.readTree(prefilled).path("kv_transfer_params");
        transfer.remove("do_remote_decode");
        transfer.put("do_remote_prefill", true);
        body.set("kv_transfer_params", transfer);
        new Caller(cluster.upstreamUrl("decode-1"), "")
                .post("/v1/completions", Json.text(body), headers);
    }

    private static void complete(Caller routed) throws IOException {
        routed.complete(Caller.completion("is this order fit?", 1, false));
    }

    private void load(Cluster cluster) throws Exception {
        run(cluster, mSeconds / 2 + 1);
        Duration cpuBefore = cluster.entry(0).cpuTime();
        long startNanos = System.nanoTime();
        long requests = run(cluster, mSeconds);
        double seconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
        Duration cpu = cluster.entry(0).cpuTime().minus(cpuBefore);
        double cores = cpu.toNanos() / NANOS_PER_SECOND / seconds;
        ObjectNode line = Json.object().put("measure", "throughput").put("path", "lookup");
        line.put("callers", mCallers).put("requests", requests);
        line.put("requestsPerSecond", Math.round(requests / seconds));
        line.put("entryCores", cores);
        line.put("requestsPerSecondPerCore", Math.round(requests / seconds / cores));
        System.out.println(line);
    }

    private long run(Cluster cluster, int seconds) throws Exception {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        List<Future<Long>> counts = new ArrayList<>();
        try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int i = 0; i < mCallers; i++) {
                counts.add(threads.submit(() -> loop(cluster, endNanos)));
            }
            long sum = 0;
            for (Future<Long> count : counts) {
                sum += count.get();
            }
            return sum;
        }
    }

    private static long loop(Cluster cluster, long endNanos) {
        Caller caller = cluster.caller(0, Cluster.MILL_KEY);
        long count = 0;
        while (System.nanoTime() < endNanos) {
            if (caller.get("/lookup/order").statusCode() != 200) {
                throw new IllegalStateException("a lookup failed");
            }
            count++;
        }
        return count;
    }

    @FunctionalInterface
    private interface Call {
        void run() throws IOException;
    }
}
