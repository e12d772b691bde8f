/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.test;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.hash.Hashing;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.Map;
import java.util.function.ToIntFunction;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.orchidmount.internal.json.Json;
import org.orchidmount.junit.Await;
import org.orchidmount.junit.Caller;
import org.orchidmount.junit.Cluster;
import org.orchidmount.junit.ClusterPlan;
import org.orchidmount.junit.PlainFaults;
import org.orchidmount.junit.RawCaller;

/** Calls to plain services: passed on whole, retried if harmless, run at most once if not. */
class PlainCallTest {
    /** Half of the 10 s for which the HTTP library waits for an answer before it closes. */
    private static final Duration NOTICED_WITHIN = Duration.ofSeconds(5);

    @TempDir static Path sFolder;

    private static Cluster sCluster;

    @BeforeAll
    static void start() throws IOException {
        sCluster = Cluster.start(sFolder, ClusterPlan.of(1, 0, 0, 2));
    }

    @AfterAll
    static void stop() {
        sCluster.close();
    }

    @AfterEach
    void clearFaults() {
        setFaults(PlainFaults.none());
    }

    private static void setFaults(PlainFaults faults) {
        sCluster.setFaults("plain-1", faults);
        sCluster.setFaults("plain-2", faults);
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 60_000, 300_000, 20_000_000})
    void largeBodiesPassBothWays(int bytes) throws Exception {
        byte[] body = new byte[bytes];
        Arrays.fill(body, (byte) 'x');
        HttpRequest put =
                HttpRequest.newBuilder(URI.create(sCluster.callerUrl(0) + "/lookup/file"))
                        .header("Authorization", "Bearer " + Cluster.MILL_KEY)
                        .PUT(HttpRequest.BodyPublishers.ofByteArray(body))
                        .build();
        HttpClient client = HttpClient.newHttpClient();
        HttpResponse<byte[]> stored = client.send(put, HttpResponse.BodyHandlers.ofByteArray());
        assertThat(Json.parse(stored.body()).path("sha256").asText())
                .isEqualTo(Hashing.sha256().hashBytes(body).toString());
        String received = sCluster.caller(0, Cluster.MILL_KEY).get("/big?bytes=" + bytes).body();
        assertThat(received.length()).isEqualTo(bytes);
    }

    @Test
    void harmlessCallIsRetriedElsewhere() {
        sCluster.setFaults("plain-1", new PlainFaults(0, 100, 0));
        for (int i = 0; i < 8; i++) {
            HttpResponse<String> response =
                    sCluster.caller(0, Cluster.MILL_KEY).get("/lookup/order");
            assertThat(response.statusCode()).isEqualTo(200);
            assertThat(response.body()).contains("plain-2");
        }
    }

    /** A service whose caller has left learns it at once, not when it answers. */
    @Test
    void aServiceNoticesThatItsCallerHasLeft() throws Exception {
        setFaults(new PlainFaults(Await.LONG.toMillis(), 0, 0));
        int before = sum(json -> json.path("byId").size());
        try (RawCaller caller = new RawCaller(sCluster.callerUrl(0))) {
            caller.send(
                    "GET /lookup/left HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
                            + Cluster.MILL_KEY
                            + "\r\n\r\n");
            Await.until(
                    "the service works",
                    Await.LONG,
                    () -> sum(json -> json.path("byId").size()) > before);
        }
        Await.until(
                "the service stops",
                NOTICED_WITHIN,
                () -> sum(json -> json.path("callersGone").asInt()) == 1);
    }

    @Test
    void answerOfAnotherRequestIsNotPassedOn() {
        setFaults(new PlainFaults(0, 0, 100));
        HttpResponse<String> response = sCluster.caller(0, Cluster.MILL_KEY).get("/lookup/order");
        assertThat(response.statusCode()).isEqualTo(502);
        assertThat(response.body()).contains("answer is that of another request");
    }

    @Test
    void lostAnswerIsUnknownAndNeverRunAgain() {
        setFaults(new PlainFaults(0, 100, 0));
        HttpResponse<String> lost = confirm("lost", "{}");
        assertThat(outcome(lost)).isEqualTo("unknown");
        setFaults(PlainFaults.none());
        HttpResponse<String> again = confirm("lost", "{}");
        assertThat(outcome(again)).isEqualTo("unknown");
        assertThat(executions("lost")).isEqualTo(1);
    }

    @Test
    void resendGetsTheRecordedAnswer() {
        HttpResponse<String> first = confirm("sale", "{\"fare\":1}");
        HttpResponse<String> again = confirm("sale", "{\"fare\":1}");
        assertThat(again.body()).isEqualTo(first.body());
        HttpResponse<String> other = confirm("sale", "{\"fare\":2}");
        assertThat(other.statusCode()).isEqualTo(422);
        assertThat(executions("sale")).isEqualTo(1);
    }

    @Test
    void callIsRecordedAlthoughItsCallerHasGone() throws IOException {
        setFaults(new PlainFaults(300, 0, 0));
        try (RawCaller caller = new RawCaller(sCluster.callerUrl(0))) {
            caller.send(
                    "POST /confirm/lot HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
                            + Cluster.MILL_KEY
                            + "\r\nIdempotency-Key: gone\r\nContent-Length: 2\r\n\r\n{}");
            Await.until("it runs", Await.LONG, () -> executions("gone") == 1);
        }
        HttpResponse<String> again = confirm("gone", "{}");
        assertThat(outcome(again)).isEqualTo("completed");
        assertThat(executions("gone")).isEqualTo(1);
    }

    @Test
    void claimsOutliveAKill() throws IOException {
        setFaults(new PlainFaults(1_000, 0, 0));
        HttpResponse<String> done = confirm("kept", "{}");
        try (RawCaller caller = new RawCaller(sCluster.callerUrl(0))) {
            caller.send(
                    "POST /confirm/lot HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
                            + Cluster.MILL_KEY
                            + "\r\nIdempotency-Key: killed\r\nContent-Length: 2\r\n\r\n{}");
            Await.until("it runs", Await.LONG, () -> executions("killed") == 1);
            sCluster.entry(0).kill();
        }
        sCluster.restartEntry(0);
        assertThat(confirm("kept", "{}").body()).isEqualTo(done.body());
        assertThat(outcome(confirm("killed", "{}"))).isEqualTo("unknown");
        assertThat(executions("killed")).isEqualTo(1);
        assertThat(executions("kept")).isEqualTo(1);
    }

    private static HttpResponse<String> confirm(String key, String body) {
        return sCluster.caller(0, Cluster.MILL_KEY)
                .post("/confirm/lot", body, Map.of("Idempotency-Key", key));
    }

    private static int executions(String key) {
        return sum(json -> json.path("byKey").path(key).asInt());
    }

    /** Adds a figure of all services. */
    private static int sum(ToIntFunction<JsonNode> figure) {
        return sCluster.upstreamNames().stream()
                .map(name -> new Caller(sCluster.upstreamUrl(name), ""))
                .mapToInt(caller -> figure.applyAsInt(caller.getJson("/test/executions")))
                .sum();
    }

    private static String outcome(HttpResponse<String> response) {
        return response.headers().firstValue("Orchidmount-Outcome").orElse("");
    }
}
