/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.orchidmount.internal.json.Json;
import org.orchidmount.junit.Await;
import org.orchidmount.junit.Caller;
import org.orchidmount.junit.CallerKind;
import org.orchidmount.junit.Cluster;
import org.orchidmount.junit.ClusterPlan;
import org.orchidmount.junit.FramedResponse;
import org.orchidmount.junit.FramingCaller;

/**
 * Promise: no response of a daemon that ends early looks whole to a caller of any kind, whatever
 * ends it. Each one that the daemon gives up leaves a line and a count.
 */
final class DaemonIncompleteResponseTest {
    /** Some 20 s; the engine's memory holds a stream for each kind of caller. */
    private static final int TOKENS = 10_000;

    /** How long a stream whose engine has gone waits for another one. */
    private static final int MAX_WAIT_MILLIS = 1_000;

    /** More than the daemon holds back to send it with its length. */
    private static final int SENT_BYTES = 400_000;

    private static final int SMALL_BUFFER_BYTES = 4 * 1024;
    private static final Duration LONGEST = Duration.ofSeconds(40);
    private static final String LARGE = "/big?bytes=1000000&";
    private static final String STOPS = "INSTANCE_STOPS";
    private static final String UPSTREAM_FAILED = "UPSTREAM_FAILED";
    private static final String TIMED_OUT = "TIMED_OUT";

    @TempDir static Path sFolder;

    private static Cluster sCluster;

    private final CompletableFuture<Void> mCut = new CompletableFuture<>();
    private final ExecutorService mThreads = Executors.newVirtualThreadPerTaskExecutor();

    /** What is asked for, so that its response is under way when it is cut. */
    private enum Target {
        STREAM(""),
        LARGE_BODY(LARGE + "stall=" + SENT_BYTES),
        LARGE_BODY_IN_CHUNKS(LARGE + "length=no&stall=" + SENT_BYTES),
        UNREAD_BODY("/big?bytes=20000000"),
        UNREAD_BODY_IN_CHUNKS("/big?bytes=20000000&length=no"),
        FAILING_BODY(LARGE + "cut=" + SENT_BYTES),
        FAILING_BODY_IN_CHUNKS(LARGE + "length=no&cut=" + SENT_BYTES);

        private static final Target[] LASTING = {
            STREAM, LARGE_BODY, LARGE_BODY_IN_CHUNKS, UNREAD_BODY, UNREAD_BODY_IN_CHUNKS
        };

        private final String mPath;

        Target(String path) {
            mPath = path;
        }

        /** Whether the caller reads only after the response has been cut. */
        boolean isUnread() {
            return this == UNREAD_BODY || this == UNREAD_BODY_IN_CHUNKS;
        }

        void send(FramingCaller caller, CallerKind kind) throws IOException {
            String account = "Authorization: Bearer " + Cluster.MILL_KEY + "\r\n";
            if (this != STREAM) {
                caller.send("GET", mPath, "Host: x\r\n" + account, "");
                return;
            }
            String fields = "Host: x\r\nContent-Type: application/json\r\n" + account;
            String body = Json.text(Caller.completion("order of " + kind, TOKENS, true));
            caller.send("POST", "/v1/completions", fields, body);
        }
    }

    /** What ends responses early. */
    private enum Cut {
        SERVICE_FAILS(UPSTREAM_FAILED, Target.FAILING_BODY, Target.FAILING_BODY_IN_CHUNKS),
        SERVICE_STALLS(TIMED_OUT, Target.LARGE_BODY, Target.LARGE_BODY_IN_CHUNKS),
        TIME_FOR_STOP_IS_OVER(STOPS, Target.LASTING) {
            @Override
            void act() {
                sCluster.entry(0).terminate();
                assertThat(sCluster.entry(0).awaitExit(30)).isEqualTo(1);
            }
        },
        DAEMON_IS_KILLED("", Target.LASTING) {
            @Override
            void act() {
                sCluster.entry(0).kill();
            }
        },
        ENGINE_IS_KILLED(TIMED_OUT, Target.STREAM) {
            @Override
            void act() {
                sCluster.upstream("decode-1").kill();
            }

            @Override
            void repair() throws IOException {
                sCluster.restartUpstream("decode-1");
            }
        };

        private final String mCause;
        private final List<Target> mTargets;

        Cut(String cause, Target... targets) {
            mCause = cause;
            mTargets = List.of(targets);
        }

        void act() {}

        void repair() throws IOException {
            if (sCluster.entry(0).awaitExit(0) >= 0) {
                sCluster.restartEntry(0);
            }
        }
    }

    /** A response under way. */
    private record UnderWay(
            Target target,
            CallerKind kind,
            FramingCaller caller,
            CompletableFuture<FramedResponse> response) {
        boolean hasBegun() {
            return target.isUnread() || caller.bodyBytes() > 0 || response.isDone();
        }
    }

    @BeforeAll
    static void start() throws IOException {
        Map<String, Map<String, Object>> settings =
                Map.of("drain", Map.of("noticeMillis", 100, "limitMillis", 300));
        sCluster = Cluster.start(sFolder, ClusterPlan.of(1, 1, 1, 1).withSettings(settings));
        Caller operator = new Caller(sCluster.operatorUrl(0), Cluster.OPERATOR_TOKEN);
        assertThat(operator.post("/v1/changes", shortWait(), Map.of()).statusCode()).isEqualTo(200);
    }

    private static String shortWait() {
        ObjectNode change = Json.object().put("id", "wait").put("comment", "a short wait");
        change.putArray("edits")
                .addObject()
                .put("kind", "class")
                .put("version", 1)
                .putObject("row")
                .put("name", "bundle")
                .put("weight", 4)
                .put("priority", 1)
                .put("maxWaitMillis", MAX_WAIT_MILLIS);
        return Json.text(change);
    }

    @AfterAll
    static void stop() {
        sCluster.close();
    }

    @ParameterizedTest(name = "{0}")
    @EnumSource
    void aResponseThatEndsEarlyIsNotWhole(Cut cut) throws Exception {
        long linesBefore = lines(cut.mCause);
        List<UnderWay> all = begin(cut);
        try {
            cut.act();
            mCut.complete(null);
            checkCut(cut, all);
            if (!cut.mCause.isEmpty()) {
                Await.until(
                        "a line for each",
                        Await.LONG,
                        () -> lines(cut.mCause) - linesBefore == all.size(),
                        () -> sCluster.entry(0).log());
            }
            if (sCluster.entry(0).awaitExit(0) < 0) {
                assertThat(counted(cut.mCause)).isEqualTo(all.size());
            }
        } finally {
            for (UnderWay one : all) {
                one.caller().close();
            }
            mThreads.shutdownNow();
            cut.repair();
            sCluster.awaitMemoryFree();
        }
    }

    private List<UnderWay> begin(Cut cut) throws IOException {
        List<UnderWay> all = new ArrayList<>();
        for (Target target : cut.mTargets) {
            for (CallerKind kind : CallerKind.values()) {
                all.add(begin(target, kind));
            }
        }
        Await.until("all have begun", Await.LONG, () -> all.stream().allMatch(UnderWay::hasBegun));
        return all;
    }

    private UnderWay begin(Target target, CallerKind kind) throws IOException {
        int port = sCluster.entry(0).port("callers");
        int bufferBytes = target.isUnread() ? SMALL_BUFFER_BYTES : 0;
        FramingCaller caller = new FramingCaller(kind, "127.0.0.1", port, LONGEST, bufferBytes);
        target.send(caller, kind);
        CompletableFuture<Void> readsWhen =
                target.isUnread() ? mCut : CompletableFuture.completedFuture(null);
        return new UnderWay(
                target, kind, caller, readsWhen.thenApplyAsync(_ -> caller.read(), mThreads));
    }

    private static void checkCut(Cut cut, List<UnderWay> all) {
        List<String> whole = new ArrayList<>();
        for (UnderWay one : all) {
            FramedResponse received = one.response().join();
            assertWithMessage(describe(received)).that(received.status()).isEqualTo(200);
            if (received.isComplete()) {
                whole.add(one.target() + " to " + one.kind());
            }
        }
        assertWithMessage("whole by their framing").that(whole).isEmpty();
        for (UnderWay one : all) {
            checkCut(cut, one, one.response().join());
        }
    }

    private static void checkCut(Cut cut, UnderWay one, FramedResponse received) {
        String name = one.target() + " " + one.kind() + ": " + describe(received);
        assertWithMessage(name).that(received.end()).isNotEqualTo(FramedResponse.End.TIMED_OUT);
        boolean isTold = one.target() == Target.STREAM && !cut.mCause.isEmpty();
        if (isTold) {
            assertWithMessage(name).that(received.body()).contains("\"outcome\":\"unknown\"");
            assertWithMessage(name).that(received.body()).doesNotContain("[DONE]");
        }
    }

    private static String describe(FramedResponse received) {
        String body = received.body();
        String tail = body.substring(Math.max(0, body.length() - 300)).replace('\0', '0');
        return "%s framing=%s end=%s whole=%s bytes=%d ...%s"
                .formatted(
                        received.headers(),
                        received.framing(),
                        received.end(),
                        received.isComplete(),
                        body.length(),
                        tail);
    }

    private static long lines(String cause) {
        return Arrays.stream(sCluster.entry(0).log().split("\n"))
                .filter(line -> line.contains("aborted response: "))
                .filter(line -> line.contains(" " + cause + " "))
                .count();
    }

    private static long counted(String cause) {
        Caller operator = new Caller(sCluster.operatorUrl(0), Cluster.OPERATOR_TOKEN);
        String name = "response_aborted_" + cause.toLowerCase(Locale.ROOT) + "_";
        return Arrays.stream(operator.get("/metrics").body().split("\n"))
                .filter(line -> line.startsWith(name))
                .mapToLong(line -> (long) Double.parseDouble(line.substring(line.indexOf(' '))))
                .sum();
    }
}
