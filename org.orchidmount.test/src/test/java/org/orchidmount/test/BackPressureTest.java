/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.test;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.orchidmount.internal.json.Json;
import org.orchidmount.junit.Await;
import org.orchidmount.junit.Caller;
import org.orchidmount.junit.Cluster;
import org.orchidmount.junit.ClusterPlan;
import org.orchidmount.junit.EngineConfig;
import org.orchidmount.junit.RawCaller;

/** A caller that does not read slows its engine down instead of filling the router's memory. */
class BackPressureTest {
    private static final int TOKENS = 20_000;

    @TempDir Path mFolder;

    private static EngineConfig fast(EngineConfig base) {
        return new EngineConfig(
                base.name(),
                64_000_000,
                1_000,
                1_000_000,
                20,
                1,
                64,
                64,
                10_000,
                400_000_000,
                50,
                0,
                true);
    }

    @Test
    void slowCallerPausesItsEngine() throws IOException {
        ClusterPlan plan = ClusterPlan.of(1, 1, 1, 0).withEngines(BackPressureTest::fast);
        try (Cluster cluster = Cluster.start(mFolder, plan);
                RawCaller slow = new RawCaller(cluster.callerUrl(0))) {
            slow.post(
                    "/v1/completions",
                    Cluster.MILL_KEY,
                    Json.text(Caller.completion("a paragraph", TOKENS, true)));
            long[] last = {-1};
            Await.until(
                    "the engine pauses",
                    Await.LONG,
                    () -> {
                        long now = generated(cluster);
                        boolean paused = now > 0 && now == last[0] && isStill(cluster, now);
                        last[0] = now;
                        return paused;
                    });
            assertThat(generated(cluster)).isLessThan(TOKENS);
            String rest = slow.readUntil("data: [DONE]");
            assertThat(rest).contains("\"offset\":" + (TOKENS - 1));
            cluster.awaitMemoryFree();
        }
    }

    /**
     * Tells whether an engine that makes a token in 21 µs makes none while it is asked 50 times.
     */
    private static boolean isStill(Cluster cluster, long generated) {
        for (int i = 0; i < 50; i++) {
            if (generated(cluster) != generated) {
                return false;
            }
        }
        return true;
    }

    private static long generated(Cluster cluster) {
        return cluster.engineState("decode-1").path("generatedTokens").asLong();
    }
}
