/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.undertow.util.HeaderMap;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.orchidmount.junit.Await;
import org.orchidmount.junit.CallerKind;
import org.orchidmount.junit.FramedResponse;
import org.orchidmount.junit.FramingCaller;

/**
 * Whole responses to callers that send more than the listener reads: the system resets a connection
 * that is closed with unread bytes, and a reset discards what the caller has not read.
 */
final class UnreadRequestTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final Duration READING_DELAY = Duration.ofMillis(300);

    /** Little enough that most of a large response is still to be sent when its end is written. */
    private static final int SOCKET_BYTES = 8 * 1024;

    private static final int PART_BYTES = 10_000;
    private static final int PARTS = 60;
    private static final byte[] PART = "x".repeat(PART_BYTES).getBytes(StandardCharsets.US_ASCII);
    private static final int BODY_BYTES = 1024 * 1024;
    private static final int CHUNK_BYTES = 4 * 1024;

    /** What a caller sends while it is answered. */
    private enum Sent {
        BODY_WITH_LENGTH("POST", "Content-Length: " + BODY_BYTES + "\r\n"),
        BODY_IN_CHUNKS("POST", "Transfer-Encoding: chunked\r\n"),
        BODY_NOT_AWAITING_CONTINUE(
                "POST", "Expect: 100-continue\r\nContent-Length: " + BODY_BYTES + "\r\n"),
        REQUESTS_40_KIB("GET", ""),
        REQUESTS_1_MIB("GET", ""),
        LARGE_REQUEST("GET", ""),
        NO_REQUEST("GET", "");

        private final String mMethod;
        private final String mFields;

        Sent(String method, String fields) {
            mMethod = method;
            mFields = fields;
        }

        byte[] head(CallerKind kind, String path) {
            return "%s %s %s\r\nHost: x\r\n%s%s\r\n"
                    .formatted(mMethod, path, kind.version(), kind.connectionField(), mFields)
                    .getBytes(StandardCharsets.US_ASCII);
        }

        byte[] rest(CallerKind kind) {
            byte[] next = REQUESTS_40_KIB.head(kind, "/read/none");
            return switch (this) {
                case BODY_WITH_LENGTH, BODY_NOT_AWAITING_CONTINUE -> new byte[BODY_BYTES];
                case BODY_IN_CHUNKS -> chunks();
                case REQUESTS_40_KIB -> repeat(next, 40 * 1024);
                case REQUESTS_1_MIB -> repeat(next, BODY_BYTES);
                case LARGE_REQUEST -> join(BODY_WITH_LENGTH.head(kind, "/refuse/answer"), 100_000);
                case NO_REQUEST -> join("not a request\r\n\r\n".getBytes(), 100_000);
            };
        }

        boolean isRefused() {
            return mMethod.equals("POST");
        }

        private static byte[] join(byte[] head, int bytes) {
            ByteArrayOutputStream joined = new ByteArrayOutputStream();
            joined.writeBytes(head);
            joined.writeBytes(new byte[bytes]);
            return joined.toByteArray();
        }

        private static byte[] chunks() {
            ByteArrayOutputStream chunk = new ByteArrayOutputStream();
            chunk.writeBytes((Integer.toHexString(CHUNK_BYTES) + "\r\n").getBytes());
            chunk.writeBytes(new byte[CHUNK_BYTES]);
            chunk.writeBytes("\r\n".getBytes());
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            body.writeBytes(repeat(chunk.toByteArray(), BODY_BYTES));
            body.writeBytes("0\r\n\r\n".getBytes());
            return body.toByteArray();
        }

        private static byte[] repeat(byte[] part, int bytes) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            while (all.size() < bytes) {
                all.writeBytes(part);
            }
            return all.toByteArray();
        }
    }

    /** How a response is sent. */
    private enum Answer {
        SMALL,
        LARGE,
        STREAM
    }

    private static final Duration LONGEST_STOP = Duration.ofSeconds(3);
    private static final Duration LONGEST_ABUSE =
            Duration.ofMillis(InputDiscard.MAX_MILLIS + 2 * InputDiscard.MAX_SILENT_MILLIS);

    private final AtomicInteger mServed = new AtomicInteger();
    private volatile boolean mIsHeld;
    private HttpServer mServer;

    @BeforeEach
    void start() {
        mServer = new HttpServer("127.0.0.1", 0, HttpLimits.defaults(), 1, this::serve);
    }

    @AfterEach
    void stop() {
        mServer.close();
    }

    /** Serves a path such as /refuse/stream: reads or refuses the body, and answers. */
    private void serve(ServerExchange exchange) throws Exception {
        String[] path = exchange.path().split("/");
        if (path[1].equals("read")) {
            exchange.readAll(TIMEOUT, 1_000);
        }
        if (mIsHeld) {
            exchange.holdUnread(disconnect -> new UnlimitedBytes(), TIMEOUT);
        }
        switch (path[2]) {
            case "SMALL" -> exchange.answer(413, new HeaderMap(), PART, TIMEOUT);
            case "LARGE" ->
                    exchange.answer(413, new HeaderMap(), new byte[PARTS * PART_BYTES], TIMEOUT);
            case "STREAM" -> {
                exchange.start(413, new HeaderMap());
                for (int i = 0; i < PARTS; i++) {
                    exchange.write(PART, TIMEOUT);
                }
                exchange.end(TIMEOUT);
            }
            default -> exchange.answer(200, new HeaderMap(), new byte[0], TIMEOUT);
        }
        mServed.incrementAndGet();
    }

    static Stream<Arguments> cases() {
        List<Arguments> cases = new ArrayList<>();
        for (Sent sent : Sent.values()) {
            for (Answer answer : Answer.values()) {
                for (CallerKind kind : CallerKind.values()) {
                    for (boolean isHeld : new boolean[] {false, true}) {
                        for (boolean isDraining : new boolean[] {false, true}) {
                            cases.add(Arguments.of(sent, answer, kind, isHeld, isDraining));
                        }
                    }
                }
            }
        }
        return cases.stream();
    }

    static Stream<Arguments> casesOfRequests() {
        return sideBySide(UnreadRequestTest::endsWithTheFirstRequest);
    }

    /** Joins cases that differ in the kind of the caller alone; the third argument is a list. */
    private static Stream<Arguments> sideBySide(Predicate<Arguments> filter) {
        Map<List<Object>, List<CallerKind>> kinds = new LinkedHashMap<>();
        cases().filter(filter)
                .map(Arguments::get)
                .forEach(
                        of ->
                                kinds.computeIfAbsent(
                                                List.of(of[0], of[1], of[3], of[4]),
                                                each -> new ArrayList<>())
                                        .add((CallerKind) of[2]));
        return kinds.entrySet().stream()
                .map(
                        of ->
                                Arguments.of(
                                        of.getKey().get(0),
                                        of.getKey().get(1),
                                        of.getValue(),
                                        of.getKey().get(2),
                                        of.getKey().get(3)));
    }

    static Stream<Arguments> casesOfLastResponses() {
        return cases().filter(of -> of.get()[0] == Sent.REQUESTS_1_MIB && of.get()[4].equals(true));
    }

    static Stream<Arguments> casesOfNoRequests() {
        return sideBySide(arguments -> !endsWithTheFirstRequest(arguments));
    }

    /** Whether what follows the request is either valid, or not read as a request. */
    private static boolean endsWithTheFirstRequest(Arguments arguments) {
        Object[] of = arguments.get();
        boolean isKept =
                ((CallerKind) of[2]).keepsConnections()
                        && of[4].equals(false)
                        && !(of[1] == Answer.STREAM && of[2] == CallerKind.HTTP_1_0_KEEP_ALIVE);
        return of[0] != Sent.NO_REQUEST || !isKept || of[1] == Answer.SMALL;
    }

    /** Guards against whole responses that are lost because the next request is not one. */
    @ParameterizedTest
    @MethodSource("casesOfNoRequests")
    void aWholeResponseIsWholeIfWhatFollowsOnAKeptConnectionIsNoRequest(
            Sent sent, Answer answer, List<CallerKind> kinds, boolean isHeld, boolean isDraining) {
        aWholeResponseIsWholeForACallerThatSends(sent, answer, kinds, isHeld, isDraining);
    }

    /** Guards against whole responses that are lost to a caller that sends while it is answered. */
    @ParameterizedTest
    @MethodSource("casesOfRequests")
    void aWholeResponseIsWholeForACallerThatSends(
            Sent sent, Answer answer, List<CallerKind> kinds, boolean isHeld, boolean isDraining) {
        mIsHeld = isHeld;
        if (isDraining) {
            mServer.drain();
        }
        try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            List<CompletableFuture<Void>> callers =
                    kinds.stream()
                            .map(
                                    kind ->
                                            CompletableFuture.runAsync(
                                                    () -> sendAndRead(sent, answer, kind), threads))
                            .toList();
            callers.forEach(CompletableFuture::join);
        }
    }

    private void sendAndRead(Sent sent, Answer answer, CallerKind kind) {
        String path = (sent.isRefused() ? "/refuse/" : "/read/") + answer;
        try (FramingCaller caller =
                new FramingCaller(kind, "127.0.0.1", mServer.port(), TIMEOUT, SOCKET_BYTES)) {
            caller.sendBytes(sent.head(kind, path));
            sendBeside(caller, sent.rest(kind));
            Thread.sleep(READING_DELAY);
            FramedResponse response = caller.read();
            String seen = kind + ": " + response.end() + " after " + response.body().length();
            assertWithMessage(seen).that(response.isComplete()).isTrue();
            assertWithMessage(seen)
                    .that(response.body())
                    .hasLength(answer == Answer.SMALL ? PART_BYTES : PARTS * PART_BYTES);
        } catch (IOException | InterruptedException e) {
            throw new AssertionError(kind.toString(), e);
        }
    }

    /** How a caller goes on sending behind the end of its response. */
    private enum Abuse {
        /** As fast as the listener takes it. */
        FLOOD(new byte[64 * 1024], Duration.ZERO),
        /** A byte from time to time. */
        TRICKLE(new byte[1], Duration.ofMillis(200)),
        /** Nothing, until the listener must have closed. */
        SILENCE(new byte[1], Duration.ofMillis(2 * InputDiscard.MAX_SILENT_MILLIS + 500));

        private final byte[] mPart;
        private final Duration mPause;

        Abuse(byte[] part, Duration pause) {
            mPart = part;
            mPause = pause;
        }
    }

    static Stream<Arguments> abuses() {
        return Stream.of(Abuse.values())
                .flatMap(
                        abuse ->
                                Stream.of(CallerKind.HTTP_1_1, CallerKind.HTTP_1_1_CLOSE)
                                        .map(kind -> Arguments.of(abuse, kind)));
    }

    /** Guards against connections held by callers that send for ever behind a refusal. */
    @ParameterizedTest
    @MethodSource("abuses")
    void aCallerThatSendsForEverIsDisconnected(Abuse abuse, CallerKind kind) throws Exception {
        try (FramingCaller caller =
                new FramingCaller(kind, "127.0.0.1", mServer.port(), TIMEOUT, SOCKET_BYTES)) {
            String fields = "Transfer-Encoding: chunked\r\n";
            String head = "POST /refuse/SMALL %s\r\nHost: x\r\n%s%s\r\n40000000\r\n";
            caller.sendBytes(
                    head.formatted(kind.version(), kind.connectionField(), fields)
                            .getBytes(StandardCharsets.US_ASCII));
            assertThat(caller.read().isComplete()).isTrue();
            long startNanos = System.nanoTime();
            assertThrows(IOException.class, () -> sendForEver(caller, abuse));
            assertThat(Duration.ofNanos(System.nanoTime() - startNanos)).isAtMost(LONGEST_ABUSE);
        }
    }

    /** Ends by an error, or after the longest time. */
    private static void sendForEver(FramingCaller caller, Abuse abuse) throws Exception {
        long startNanos = System.nanoTime();
        while (System.nanoTime() - startNanos < 2 * LONGEST_ABUSE.toNanos()) {
            caller.sendBytes(abuse.mPart);
            Thread.sleep(abuse.mPause);
        }
    }

    /** Guards against an end of the connection that comes only when the caller ends it. */
    @ParameterizedTest
    @MethodSource("casesOfLastResponses")
    void theConnectionEndsInOrderBehindTheLastResponse(
            Sent sent, Answer answer, CallerKind kind, boolean isHeld, boolean isDraining)
            throws Exception {
        mIsHeld = isHeld;
        assertThat(isDraining).isTrue();
        mServer.drain();
        try (FramingCaller caller =
                new FramingCaller(kind, "127.0.0.1", mServer.port(), TIMEOUT, SOCKET_BYTES)) {
            caller.sendBytes(sent.head(kind, "/read/" + answer));
            sendBeside(caller, sent.rest(kind));
            FramedResponse response = caller.read();
            assertThat(response.isComplete()).isTrue();
            assertThat(response.headers()).containsEntry("connection", "close");
            caller.readToEnd();
        }
    }

    /** Guards against a listener that resets whole responses because it stops. */
    @ParameterizedTest
    @EnumSource(CallerKind.class)
    void aListenerThatStopsWaitsForCallersForAShortTime(CallerKind kind) throws Exception {
        mServer.drain();
        Sent sent = Sent.REQUESTS_40_KIB;
        try (FramingCaller caller =
                new FramingCaller(kind, "127.0.0.1", mServer.port(), TIMEOUT, SOCKET_BYTES)) {
            caller.sendBytes(sent.head(kind, "/read/SMALL"));
            Await.until("answered", TIMEOUT, () -> mServed.get() == 1 && mServer.active() == 0);
            sendBeside(caller, sent.rest(kind));
            long startNanos = System.nanoTime();
            mServer.close();
            assertThat(Duration.ofNanos(System.nanoTime() - startNanos)).isAtMost(LONGEST_STOP);
            assertThat(caller.read().isComplete()).isTrue();
        }
    }

    private static void sendBeside(FramingCaller caller, byte[] bytes) {
        Thread.ofVirtual()
                .start(
                        () -> {
                            try {
                                caller.sendBytes(bytes);
                            } catch (IOException e) {
                                // The reader judges what it has got.
                            }
                        });
    }
}
