/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.test;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.orchidmount.internal.json.Json;
import org.orchidmount.junit.Caller;
import org.orchidmount.junit.Cluster;
import org.orchidmount.junit.ClusterPlan;
import org.orchidmount.junit.FakeModel;
import org.orchidmount.junit.RawCaller;

/** A caller whose entry dies takes its answer up through another entry, and nothing stays held. */
class ResumeTest {
    private static final int TOKENS = 800;
    private static final String PROMPT = "can this fare be sold?";
    private static final Pattern TOKEN = Pattern.compile("Orchidmount-Resume: (\\S+)");
    private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: (\\{.*\\})\n");

    @TempDir Path mFolder;

    @Test
    void anotherEntryGoesOnWhereTheKilledOneStopped() throws Exception {
        try (Cluster cluster = Cluster.start(mFolder, ClusterPlan.of(2, 1, 1, 0));
                RawCaller caller = new RawCaller(cluster.callerUrl(0))) {
            caller.post(
                    "/v1/completions",
                    Cluster.FERRY_KEY,
                    Json.text(Caller.completion(PROMPT, TOKENS, true)));
            String received = caller.readUntil("id: 50\n") + caller.readUntil("\n\n");
            cluster.entry(0).kill();
            String token = first(TOKEN, received);
            StringBuilder text = new StringBuilder();
            Matcher events = EVENT.matcher(received);
            int last = -1;
            while (events.find()) {
                last = Integer.parseInt(events.group(1));
                text.append(
                        Json.MAPPER
                                .readTree(events.group(2))
                                .path("choices")
                                .path(0)
                                .path("text")
                                .asText());
            }
            Caller.Answer rest = cluster.caller(1, Cluster.FERRY_KEY).resume(token, last);
            assertThat(rest.outcome()).isEqualTo("completed");
            assertThat(text + rest.text()).isEqualTo(FakeModel.answer(PROMPT, TOKENS));
            cluster.awaitMemoryFree();
        }
    }

    @Test
    void restartedEntryClearsWhatItLeftBehind() throws Exception {
        try (Cluster cluster = Cluster.start(mFolder, ClusterPlan.of(1, 1, 1, 0));
                RawCaller caller = new RawCaller(cluster.callerUrl(0))) {
            caller.post(
                    "/v1/completions",
                    Cluster.FERRY_KEY,
                    Json.text(Caller.completion(PROMPT, 20_000, true)));
            caller.readUntil("id: 5\n");
            cluster.entry(0).kill();
            assertThat(cluster.kvBytesHeld()).isGreaterThan(0);
            cluster.restartEntry(0);
            cluster.awaitMemoryFree();
        }
    }

    @Test
    void takenOverStreamEndsAtItsFirstReader() throws Exception {
        try (Cluster cluster = Cluster.start(mFolder, ClusterPlan.of(2, 1, 1, 0));
                ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
                RawCaller caller = new RawCaller(cluster.callerUrl(0))) {
            caller.post(
                    "/v1/completions",
                    Cluster.FERRY_KEY,
                    Json.text(Caller.completion(PROMPT, TOKENS, true)));
            String token = first(TOKEN, caller.readUntil("id: 0\n"));
            Future<Caller.Answer> other =
                    threads.submit(() -> cluster.caller(1, Cluster.FERRY_KEY).resume(token, -1));
            String rest = caller.readUntil("\"outcome\":\"unknown\"");
            assertThat(rest).contains("taken the stream over");
            assertThat(caller.readAll()).doesNotContain("\r\n0\r\n");
            assertThat(other.get().text()).isEqualTo(FakeModel.answer(PROMPT, TOKENS));
        }
    }

    private static String first(Pattern pattern, String text) {
        Matcher matcher = pattern.matcher(text);
        assertThat(matcher.find()).isTrue();
        return matcher.group(1);
    }
}
