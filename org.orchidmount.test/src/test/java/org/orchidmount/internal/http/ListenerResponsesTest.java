/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.orchidmount.junit.CallerKind;
import org.orchidmount.junit.FramedResponse;
import org.orchidmount.junit.FramedResponse.End;
import org.orchidmount.junit.FramedResponse.Framing;
import org.orchidmount.junit.FramingCaller;

/**
 * What a listener answers to requests of every form, those that the HTTP library refuses by itself
 * included: none of its responses is whole by an orderly end of the connection unless it is whole.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
final class ListenerResponsesTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration HEADER_TIMEOUT = Duration.ofMillis(300);
    private static final Duration STALL_TIME = Duration.ofSeconds(5);
    private static final byte[] PART = "x".repeat(10_000).getBytes(StandardCharsets.US_ASCII);
    private static final int PARTS = 3;
    private static final HttpString TRAILER = new HttpString("Orchidmount-Test");

    /** A request, with the place of its path. */
    private enum Form {
        LOWER_CASE_VERSION("GET %s http/1.1\r\nHost: x\r\n\r\n"),
        NEWER_MINOR_VERSION("GET %s HTTP/1.2\r\nHost: x\r\n\r\n"),
        NEWER_VERSION("GET %s HTTP/2.0\r\nHost: x\r\n\r\n"),
        UNKNOWN_VERSION("GET %s HTTP/9.9\r\nHost: x\r\n\r\n"),
        OTHER_PROTOCOL("GET %s SIP/2.0\r\nHost: x\r\n\r\n"),
        OLD_VERSION("GET %s HTTP/0.9\r\nHost: x\r\n\r\n"),
        NO_VERSION("GET %s\r\n\r\n"),
        NO_HOST("GET %s HTTP/1.1\r\n\r\n"),
        ABSOLUTE_ADDRESS("GET http://x%s HTTP/1.1\r\nHost: x\r\n\r\n"),
        UPGRADE(
                "GET %s HTTP/1.1\r\nHost: x\r\nConnection: Upgrade, HTTP2-Settings\r\n"
                        + "Upgrade: h2c\r\nHTTP2-Settings: AAMAAABkAAQAAP__\r\n\r\n"),
        EXPECTATION(
                "POST %s HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\n"
                        + "Content-Length: 1\r\n\r\nx"),
        EXPECTATION_OLD("POST %s HTTP/1.0\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\nx"),
        UNKNOWN_EXPECTATION("GET %s HTTP/1.1\r\nHost: x\r\nExpect: more\r\n\r\n"),
        SENT_AHEAD("GET %s HTTP/1.1\r\nHost: x\r\n\r\nGET /whole HTTP/1.1\r\nHost: x\r\n\r\n"),
        MALFORMED_AHEAD("GET %s HTTP/1.1\r\nHost: x\r\n\r\n\0\0 \r\n\r\n"),
        TE_OLD("GET %s HTTP/1.0\r\nTE: trailers\r\nConnection: TE\r\n\r\n"),
        HEAD("HEAD %s HTTP/1.1\r\nHost: x\r\n\r\n"),
        HEAD_OLD("HEAD %s HTTP/1.0\r\n\r\n"),
        CONNECT("CONNECT %s HTTP/1.1\r\nHost: x\r\n\r\n"),
        MALFORMED_FIELD("GET %s HTTP/1.1\r\nHost x\r\n\r\n"),
        MALFORMED_LENGTH("POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: one\r\n\r\n"),
        TWO_LENGTHS(
                "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n"
                        + "Content-Length: 2\r\n\r\nx"),
        MALFORMED_PATH("GET %s%%zz HTTP/1.1\r\nHost: x\r\n\r\n"),
        MALFORMED_CHUNK("POST %s HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"),
        LARGE_HEAD("GET %s HTTP/1.1\r\nHost: x\r\nX: " + "x".repeat(40_000) + "\r\n\r\n"),
        LARGE_HEAD_OLD("GET %s HTTP/1.0\r\nX: " + "x".repeat(40_000) + "\r\n\r\n"),
        MANY_FIELDS("GET %s HTTP/1.1\r\nHost: x\r\n" + "X: x\r\n".repeat(300) + "\r\n"),
        MANY_PARAMETERS("GET %s?" + "a=b&".repeat(1_500) + " HTTP/1.1\r\nHost: x\r\n\r\n"),
        NEVER_WHOLE("GET %s HTTP/1.1\r\nHost: x\r\n"),
        NEVER_WHOLE_OLD("GET %s HTTP/1.0\r\n");

        private final String mText;

        Form(String text) {
            mText = text;
        }

        String at(String path) {
            return mText.formatted(path);
        }

        boolean isHead() {
            return this == HEAD || this == HEAD_OLD;
        }
    }

    /**
     * Errors that end a response on the thread of the request, the I/O thread, or in the writer.
     */
    private enum Fault {
        THREAD_BEFORE_HEAD,
        THREAD_EXCEPTION,
        THREAD_ERROR,
        THREAD_INTERRUPTED,
        TRAILER,
        WRITER_OPENS,
        WRITER_HOLDS,
        LENGTH_MISSED,
        LENGTH_SIGNED,
        LENGTH_MALFORMED,
        LENGTH_TWICE;

        /** Whether a caller of a kind sees nothing of it. */
        boolean isUnseenBy(CallerKind kind) {
            return this == TRAILER && kind.version().equals("HTTP/1.0");
        }
    }

    private HttpServer mServer;

    @BeforeAll
    void start() {
        HttpLimits limits = new HttpLimits(16 * 1024, 100, HEADER_TIMEOUT, TIMEOUT);
        mServer = new HttpServer("127.0.0.1", 0, limits, 1, this::serve);
    }

    @AfterAll
    void stop() {
        mServer.close();
    }

    private void serve(ServerExchange exchange) throws Exception {
        exchange.readAll(READ_TIMEOUT, 1_000);
        switch (exchange.path().split("[%?]")[0]) {
            case "/whole" -> {
                exchange.start(200, new HeaderMap());
                writeParts(exchange);
                exchange.end(TIMEOUT);
            }
            case "/cut" -> {
                exchange.start(200, new HeaderMap());
                writeParts(exchange);
                exchange.abort(AbortCause.UPSTREAM_FAILED, "a fault of the upstream");
            }
            default -> fail(exchange, Fault.valueOf(exchange.path().substring(1)));
        }
    }

    private static void writeParts(ServerExchange exchange) throws Exception {
        for (int i = 0; i < PARTS; i++) {
            exchange.write(PART, TIMEOUT);
        }
    }

    private static void fail(ServerExchange exchange, Fault fault) throws Exception {
        HeaderMap headers = new HeaderMap();
        switch (fault) {
            case THREAD_BEFORE_HEAD -> throw new OutOfMemoryError("an error before the head");
            case LENGTH_MISSED -> headers.put(Headers.CONTENT_LENGTH, 1_000_000);
            case LENGTH_SIGNED -> headers.put(Headers.CONTENT_LENGTH, "+1000000");
            case LENGTH_MALFORMED -> headers.put(Headers.CONTENT_LENGTH, "many");
            case LENGTH_TWICE ->
                    headers.add(Headers.CONTENT_LENGTH, PARTS * PART.length)
                            .add(Headers.CONTENT_LENGTH, 1_000_000);
            case TRAILER -> exchange.trailer(TRAILER, () -> throwError("in a trailer"));
            case WRITER_OPENS -> exchange.holdUnread(_ -> throwError("at opening"), STALL_TIME);
            case WRITER_HOLDS -> exchange.holdUnread(_ -> new FailingAccount(), STALL_TIME);
            default -> {}
        }
        exchange.start(200, headers);
        writeParts(exchange);
        switch (fault) {
            case THREAD_EXCEPTION, LENGTH_SIGNED, LENGTH_MALFORMED, LENGTH_TWICE ->
                    throw new IllegalStateException("an exception");
            case THREAD_ERROR -> throw new StackOverflowError("an error");
            case THREAD_INTERRUPTED -> throw new InterruptedException();
            case WRITER_HOLDS -> exchange.write(new byte[5_000_000], TIMEOUT);
            default -> {}
        }
        exchange.end(TIMEOUT);
    }

    private static <T> T throwError(String where) {
        throw new OutOfMemoryError("an error " + where);
    }

    /** Fails as soon as bytes are held. */
    private static final class FailingAccount implements UnreadBytes {
        @Override
        public boolean add(int bytes, boolean isComplete) {
            return throwError("in the account");
        }

        @Override
        public void remove(int bytes) {}

        @Override
        public void stalled() {}

        @Override
        public void close() {}
    }

    private FramedResponse call(String bytes) throws IOException {
        try (FramingCaller caller =
                new FramingCaller(CallerKind.HTTP_1_1, "127.0.0.1", mServer.port(), TIMEOUT)) {
            try {
                caller.send(bytes);
            } catch (IOException e) {
                // The listener has refused it before it was sent whole.
            }
            return caller.read();
        }
    }

    private static String describe(FramedResponse response) {
        return "%d framing=%s end=%s whole=%s bytes=%d %s"
                .formatted(
                        response.status(),
                        response.framing(),
                        response.end(),
                        response.isComplete(),
                        response.body().length(),
                        response.headers());
    }

    /** Guards against refusals, and responses to unusual requests, that are cut and look whole. */
    @ParameterizedTest
    @EnumSource(Form.class)
    void aResponseToAnyRequestEndsByItsFraming(Form form) throws Exception {
        FramedResponse whole = call(form.at("/whole"));
        FramedResponse cut = call(form.at("/cut"));
        assertThat(whole.end()).isNotEqualTo(End.TIMED_OUT);
        assertThat(cut.end()).isNotEqualTo(End.TIMED_OUT);
        if (whole.status() == 200) {
            assertWithMessage(describe(whole)).that(whole.isComplete()).isTrue();
            assertWithMessage(describe(whole))
                    .that(whole.body())
                    .hasLength(form.isHead() ? 0 : PARTS * PART.length);
            assertWithMessage(describe(cut)).that(cut.isComplete()).isEqualTo(form.isHead());
        } else {
            for (FramedResponse refusal : new FramedResponse[] {whole, cut}) {
                assertWithMessage(describe(refusal))
                        .that(refusal.framing())
                        .isAnyOf(Framing.LENGTH, Framing.CHUNKED, Framing.NONE);
            }
        }
    }

    static Stream<Arguments> faults() {
        return Arrays.stream(Fault.values())
                .flatMap(
                        fault ->
                                Arrays.stream(CallerKind.values())
                                        .map(kind -> Arguments.of(fault, kind)));
    }

    /**
     * Guards against an error of ours that ends a response so that it looks whole, or not at all.
     */
    @ParameterizedTest
    @MethodSource("faults")
    void aResponseThatAnErrorEndsIsNotWhole(Fault fault, CallerKind kind) throws Exception {
        try (FramingCaller caller =
                new FramingCaller(kind, "127.0.0.1", mServer.port(), Duration.ofSeconds(8), 4096)) {
            caller.send("GET", "/" + fault, "Host: x\r\n", "");
            FramedResponse response = caller.read();
            assertWithMessage(describe(response))
                    .that(response.isComplete())
                    .isEqualTo(fault.isUnseenBy(kind));
            assertThat(response.end()).isNotEqualTo(End.TIMED_OUT);
        }
    }
}
