/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.test;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.Map;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.orchidmount.junit.Await;
import org.orchidmount.junit.Caller;
import org.orchidmount.junit.Cluster;
import org.orchidmount.junit.ClusterPlan;
import org.orchidmount.junit.RawCaller;

/**
 * Bodies that together exceed what a daemon may hold. Guards against a heap that callers within
 * their limits exhaust, and small requests that starve behind large ones.
 */
final class DaemonBodyMemoryTest {
    private static final Duration LONGEST = Duration.ofSeconds(30);
    private static final int BODY_BYTES = 400_000;
    private static final int TOTAL_BYTES = 900_000;
    private static final String HEAD =
            "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
                    + "Authorization: Bearer "
                    + Cluster.MILL_KEY
                    + "\r\nContent-Length: ";

    @TempDir static Path sFolder;

    private static Cluster sCluster;

    @BeforeAll
    static void start() throws IOException {
        Map<String, Object> callers =
                Map.of("maxBodyBytes", BODY_BYTES, "totalBodyBytes", TOTAL_BYTES);
        ClusterPlan plan = ClusterPlan.of(1, 1, 1, 1).withSettings(Map.of("callers", callers));
        sCluster = Cluster.start(sFolder, plan);
    }

    @AfterAll
    static void stop() {
        sCluster.close();
    }

    @Test
    void aBodyWithoutMemoryIsRefusedAsNotRunAndSmallOnesGoOn() throws Exception {
        try (RawCaller first = new RawCaller(sCluster.callerUrl(0));
                RawCaller second = new RawCaller(sCluster.callerUrl(0));
                RawCaller third = new RawCaller(sCluster.callerUrl(0));
                RawCaller small = new RawCaller(sCluster.callerUrl(0))) {
            first.send(HEAD + BODY_BYTES + "\r\n\r\n");
            second.send(HEAD + BODY_BYTES + "\r\n\r\n");
            Await.until("both are held", LONGEST, () -> metric("held_bytes") == 2 * BODY_BYTES);
            third.send(HEAD + BODY_BYTES + "\r\n\r\n");
            String refusal = third.readUntil("}}");
            assertThat(refusal).startsWith("HTTP/1.1 503 ");
            assertThat(refusal).contains("\"code\":\"no_body_memory\"");
            assertThat(refusal).contains("Orchidmount-Outcome: not-run");
            assertThat(refusal).contains("Retry-After");
            String body = "{\"model\":\"loom\",\"prompt\":\"p\",\"max_tokens\":1}";
            small.send(HEAD + body.length() + "\r\n\r\n" + body);
            assertThat(small.readUntil("}")).startsWith("HTTP/1.1 200 ");
            first.send("x".repeat(BODY_BYTES));
            assertThat(first.readUntil("}}")).startsWith("HTTP/1.1 400 ");
        }
        Await.until("all is returned", LONGEST, () -> metric("held_bytes") == 0);
        assertThat(metric("refused")).isEqualTo(1);
        assertThat(metric("most_held_bytes")).isAtMost(TOTAL_BYTES);
    }

    private static long metric(String name) {
        Caller operator = new Caller(sCluster.operatorUrl(0), Cluster.OPERATOR_TOKEN);
        return Arrays.stream(operator.get("/metrics").body().split("\n"))
                .filter(line -> line.startsWith("request_bodies_" + name + " "))
                .mapToLong(line -> (long) Double.parseDouble(line.substring(line.indexOf(' '))))
                .findFirst()
                .orElseThrow();
    }
}
