/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.bench;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.orchidmount.claims.ClaimKey;
import org.orchidmount.clock.SystemMonotonicClock;
import org.orchidmount.internal.claims.FileClaimStore;
import org.orchidmount.internal.json.Json;
import org.orchidmount.junit.Cluster;
import org.orchidmount.junit.ClusterPlan;
import org.orchidmount.routing.Candidate;
import org.orchidmount.routing.DecisionInput;
import org.orchidmount.routing.JointPolicy;
import org.orchidmount.routing.RequestInfo;
import org.orchidmount.routing.UpstreamView;
import org.orchidmount.table.AccountRow;
import org.orchidmount.table.Change;
import org.orchidmount.table.ClassRow;
import org.orchidmount.table.Edit;
import org.orchidmount.table.Table;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * {@code bench capacity}: the slopes that docs/CAPACITY.md works with, each from several sizes with
 * a fitted line. Prints JSON lines. Used by one thread.
 */
@Command(
        name = "capacity",
        description = "Measures the slopes behind docs/CAPACITY.md.",
        mixinStandardHelpOptions = true)
final class CapacityBench implements Callable<Integer> {
    private static final double NANOS_PER_MICRO = 1e3;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int WARM_UPS = 3;

    @Option(
            names = "--seconds",
            defaultValue = "10",
            description = "How long each size of the polling is watched.")
    private int mSeconds;

    @Override
    public Integer call() throws Exception {
        decisions();
        tableMemory();
        tableChanges();
        claims();
        polling();
        return 0;
    }

    /** Time of a decision against the number of engines it looks at. */
    private static void decisions() {
        double[] engines = {10, 100, 1000, 7800};
        double[] micros = new double[engines.length];
        for (int i = 0; i < engines.length; i++) {
            DecisionInput input = decisionInput((int) engines[i]);
            micros[i] = timeDecisions(input);
        }
        report("decision micros", "engines", engines, micros);
    }

    private static DecisionInput decisionInput(int engines) {
        List<Candidate> candidates = new ArrayList<>();
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < engines; i++) {
            long taken = random.nextLong(50_000_000);
            candidates.add(
                    new Candidate(
                            new UpstreamView(
                                    "engine-" + i,
                                    "z" + i % 26,
                                    1,
                                    true,
                                    0,
                                    3,
                                    3,
                                    64_000_000,
                                    taken,
                                    taken,
                                    random.nextLong(5000),
                                    20_000,
                                    400_000_000,
                                    0),
                            random.nextInt(500)));
        }
        RequestInfo request = new RequestInfo("r", "m", 1000, 100, 1_100_000, 1_000_000, 10_000, 0);
        return new DecisionInput(
                request,
                candidates.subList(0, engines / 2),
                candidates.subList(engines / 2, engines),
                "z1",
                0,
                0);
    }

    private static double timeDecisions(DecisionInput input) {
        JointPolicy policy = new JointPolicy();
        SplittableRandom random = new SplittableRandom(2);
        int rounds = 4_000_000 / (input.prefill().size() + 100);
        double micros = 0;
        for (int warm = 0; warm <= WARM_UPS; warm++) {
            long startNanos = System.nanoTime();
            for (int i = 0; i < rounds; i++) {
                policy.decide(input, random);
            }
            micros = (System.nanoTime() - startNanos) / NANOS_PER_MICRO / rounds;
        }
        return micros;
    }

    private static Table tableOf(int accounts) {
        Table table =
                Table.empty()
                        .apply(
                                new Change(
                                        "class",
                                        "bench",
                                        "",
                                        List.of(
                                                new Edit.Put(
                                                        new ClassRow("c", 1, 0, 1, 0, 0, 0), 0))))
                        .table();
        List<Edit> edits = new ArrayList<>();
        for (int i = 0; i < accounts; i++) {
            edits.add(new Edit.Put(account(i, 1), 0));
            if (edits.size() == Change.MAX_EDITS || i == accounts - 1) {
                table = table.apply(new Change("rows-" + i, "bench", "", edits)).table();
                edits = new ArrayList<>();
            }
        }
        return table;
    }

    private static AccountRow account(int number, int weight) {
        String hash = String.format("%064x", number);
        return new AccountRow("account-" + number, hash, "c", weight, 10, 10);
    }

    /** Heap taken by a table against its rows. */
    private static void tableMemory() {
        double[] rows = {1000, 2000, 4000, 8000};
        double[] bytes = new double[rows.length];
        for (int i = 0; i < rows.length; i++) {
            long before = usedHeap();
            Table table = tableOf((int) rows[i]);
            bytes[i] = usedHeap() - before;
            if (table.revision() == 0) {
                throw new IllegalStateException("the table is empty");
            }
        }
        report("table heap bytes", "account rows", rows, bytes);
    }

    private static long usedHeap() {
        for (int i = 0; i < 4; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    /** Time to apply a change of one row against the rows of the table. */
    private static void tableChanges() {
        double[] rows = {1000, 2000, 4000, 8000};
        double[] micros = new double[rows.length];
        for (int i = 0; i < rows.length; i++) {
            Table table = tableOf((int) rows[i]);
            int changes = 300;
            for (int warm = 0; warm < WARM_UPS; warm++) {
                long startNanos = System.nanoTime();
                for (int c = 0; c < changes; c++) {
                    Edit edit = new Edit.Put(account(c, 2 + warm), Edit.ANY_VERSION);
                    table = table.apply(new Change("c", "bench", "", List.of(edit))).table();
                }
                micros[i] = (System.nanoTime() - startNanos) / NANOS_PER_MICRO / changes;
            }
        }
        report("change micros", "rows", rows, micros);
    }

    /** Claims a second of one instance, each synced by itself. */
    private static void claims() throws Exception {
        Path folder = Files.createTempDirectory("orchidmount-claims");
        int count = 500;
        try (FileClaimStore store =
                new FileClaimStore(folder.resolve("claims.log"), new SystemMonotonicClock())) {
            long startNanos = System.nanoTime();
            for (int i = 0; i < count; i++) {
                store.claim(new ClaimKey("a", "r", "key-" + i), "h");
            }
            double seconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
            ObjectNode line = Json.object().put("measure", "claims synced one by one");
            System.out.println(line.put("claimsPerSecond", Math.round(count / seconds)));
        }
    }

    /** Bytes, processor time and memory of an idle entry against the engines it polls. */
    private void polling() throws Exception {
        double[] engines = {2, 4, 8, 16};
        double[] bytes = new double[engines.length];
        double[] cores = new double[engines.length];
        double[] resident = new double[engines.length];
        for (int i = 0; i < engines.length; i++) {
            int half = (int) engines[i] / 2;
            Path folder = Files.createTempDirectory("orchidmount-polling");
            ClusterPlan plan = ClusterPlan.of(1, half, half, 0).withProxies();
            try (Cluster cluster = Cluster.start(folder, plan)) {
                TimeUnit.SECONDS.sleep(mSeconds);
                long bytesBefore = proxyBytes(cluster);
                Duration cpuBefore = cluster.entry(0).cpuTime();
                long startNanos = System.nanoTime();
                TimeUnit.SECONDS.sleep(mSeconds);
                double seconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
                bytes[i] = (proxyBytes(cluster) - bytesBefore) / seconds;
                Duration cpu = cluster.entry(0).cpuTime().minus(cpuBefore);
                cores[i] = cpu.toNanos() / NANOS_PER_SECOND / seconds;
                resident[i] = cluster.entry(0).residentBytes();
            }
        }
        report("control bytes a second", "engines polled", engines, bytes);
        report("control cores", "engines polled", engines, cores);
        report("resident bytes", "engines polled", engines, resident);
    }

    private static long proxyBytes(Cluster cluster) {
        return cluster.upstreamNames().stream()
                .mapToLong(name -> cluster.proxy(name).bytes())
                .sum();
    }

    private static void report(String measure, String per, double[] x, double[] y) {
        Line line = Line.fit(x, y);
        ObjectNode json = Json.object().put("measure", measure).put("against", per);
        ArrayNode points = json.putArray("points");
        for (int i = 0; i < x.length; i++) {
            points.addArray().add(x[i]).add(y[i]);
        }
        json.put("intercept", line.intercept()).put("slope", line.slope());
        json.put("residual", line.residual());
        System.out.println(json);
    }
}
