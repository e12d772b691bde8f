/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.undertow.util.HeaderMap;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeoutException;
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

/** Responses of a listener, whole and given up, as each kind of caller reads them. */
final class ResponseFramingTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    /** Little enough that most of a large response is still to be sent when its end is written. */
    private static final int SOCKET_BYTES = 8 * 1024;

    private static final Duration READING_DELAY = Duration.ofMillis(300);
    private static final byte[] PART = "x".repeat(10_000).getBytes(StandardCharsets.US_ASCII);
    private static final int PARTS = 60;

    /** What gives a response up. */
    private enum End {
        ABORT(AbortCause.UPSTREAM_FAILED),
        EXCEPTION(AbortCause.INTERNAL_ERROR),
        ERROR(AbortCause.INTERNAL_ERROR),
        SLOW_CALLER(AbortCause.CALLER_TOO_SLOW),
        LISTENER_CLOSES(AbortCause.INSTANCE_STOPS);

        private final AbortCause mCause;

        End(AbortCause cause) {
            mCause = cause;
        }
    }

    private final CountDownLatch mIsBegun = new CountDownLatch(1);
    private final CountDownLatch mIsHeld = new CountDownLatch(1);
    private HttpServer mServer;

    @BeforeEach
    void start() {
        mServer = new HttpServer("127.0.0.1", 0, HttpLimits.defaults(), 1, this::serve);
    }

    @AfterEach
    void stop() {
        mIsHeld.countDown();
        mServer.close();
    }

    static Stream<Arguments> ends() {
        return Arrays.stream(End.values())
                .flatMap(
                        end ->
                                Arrays.stream(CallerKind.values())
                                        .map(kind -> Arguments.of(end, kind)));
    }

    private void serve(ServerExchange exchange) throws Exception {
        exchange.identify("id-1");
        exchange.readAll(TIMEOUT, 1_000);
        exchange.start(200, new HeaderMap());
        if (exchange.path().equals("/whole")) {
            for (int i = 0; i < PARTS; i++) {
                exchange.write(PART, TIMEOUT);
            }
            exchange.end(TIMEOUT);
            return;
        }
        exchange.write(PART, TIMEOUT);
        exchange.write(PART, TIMEOUT);
        switch (End.valueOf(exchange.path().substring(1))) {
            case ABORT -> exchange.abort(AbortCause.UPSTREAM_FAILED, "a fault of the upstream");
            case EXCEPTION -> throw new IOException("an exception");
            case ERROR -> throw new OutOfMemoryError("an error of the virtual machine");
            case SLOW_CALLER -> throw new TimeoutException("the caller does not read");
            case LISTENER_CLOSES -> {
                mIsBegun.countDown();
                mIsHeld.await();
            }
            default -> throw new IllegalArgumentException(exchange.path());
        }
    }

    private FramingCaller caller(CallerKind kind) throws IOException {
        return new FramingCaller(kind, "127.0.0.1", mServer.port(), TIMEOUT, SOCKET_BYTES);
    }

    /** Guards against responses that are given up and look whole, or leave no count. */
    @ParameterizedTest
    @MethodSource("ends")
    void aResponseThatIsGivenUpIsNotWhole(End end, CallerKind kind) throws Exception {
        try (FramingCaller caller = caller(kind)) {
            caller.send("GET", "/" + end, "Host: x\r\n", "");
            if (end == End.LISTENER_CLOSES) {
                mIsBegun.await();
                mServer.close();
            }
            FramedResponse response = caller.read();
            assertWithMessage(response.toString()).that(response.isComplete()).isFalse();
            assertThat(response.end()).isNotEqualTo(FramedResponse.End.TIMED_OUT);
        }
        ResponseFraming framing =
                kind.version().equals("HTTP/1.1") ? ResponseFraming.CHUNKED : ResponseFraming.CLOSE;
        AbortedResponses.Key key = new AbortedResponses.Key(end.mCause, framing);
        Await.until("counted", TIMEOUT, () -> mServer.abortedResponses().count(key) == 1);
    }

    /** Guards against whole responses that are reset behind their end. */
    @ParameterizedTest
    @EnumSource(CallerKind.class)
    void aWholeResponseIsWholeForACallerThatReadsLate(CallerKind kind) throws Exception {
        try (FramingCaller caller = caller(kind)) {
            caller.send("GET", "/whole", "Host: x\r\n", "");
            Thread.sleep(READING_DELAY);
            FramedResponse response = caller.read();
            assertWithMessage(response.end().toString()).that(response.isComplete()).isTrue();
            assertThat(response.body()).hasLength(PARTS * PART.length);
        }
        assertThat(mServer.abortedResponses().toString()).isEqualTo("{}");
    }

    /** What is left unread when a socket is closed makes the system reset it. */
    @ParameterizedTest
    @EnumSource(CallerKind.class)
    void aWholeResponseIsWholeForACallerThatSendsMore(CallerKind kind) throws Exception {
        try (FramingCaller caller = caller(kind)) {
            caller.send("GET", "/whole", "Host: x\r\n", "");
            caller.send("GET", "/whole", "Host: x\r\n", "");
            Thread.sleep(READING_DELAY);
            FramedResponse response = caller.read();
            assertWithMessage(response.end().toString()).that(response.isComplete()).isTrue();
            assertThat(response.body()).hasLength(PARTS * PART.length);
        }
    }
}
