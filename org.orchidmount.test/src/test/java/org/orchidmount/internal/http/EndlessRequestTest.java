/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import static com.google.common.truth.Truth.assertWithMessage;

import io.undertow.util.HeaderMap;
import java.io.IOException;
import java.time.Duration;
import java.util.Arrays;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.orchidmount.junit.RawCaller;

/**
 * Callers send bytes that are no request and never end. Guards against a listener that reads them
 * as long as they come, whether its handler reads the body or refuses the request before.
 */
final class EndlessRequestTest {
    /** What the sockets of both sides hold besides the limit. */
    private static final long MAX_SENT_BYTES = 12L * 1024 * 1024;

    /** The rest of a request that is refused is discarded, so that its caller reads the refusal. */
    private static final long MAX_UNREAD_BYTES = 96L * 1024 * 1024;

    private static final Duration MAX_TIME = Duration.ofSeconds(5);
    private static final Duration MAX_SENDING = Duration.ofSeconds(6);
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final int MAX_BODY_BYTES = 1024 * 1024;
    private static final int BLOCK_BYTES = 16 * 1024;
    private static final String NOISE = "7".repeat(BLOCK_BYTES);
    private static final String FIELDS = "a: b\r\n".repeat(BLOCK_BYTES / 6);
    private static final String HEAD = "POST / HTTP/1.1\r\nHost: x\r\n";
    private static final String CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n\r\n";
    private static final String EXTENSION = "1;" + "x".repeat(4_000) + "\r\na\r\n";

    /** What never ends. */
    private enum Form {
        REQUEST_LINE("GET /", NOISE),
        FIELD(HEAD + "a: ", NOISE),
        HEAD_FIELDS(HEAD, FIELDS),
        CHUNK_SIZE(CHUNKED, "0".repeat(BLOCK_BYTES)),
        CHUNK_EXTENSION(CHUNKED + "1;", "x".repeat(BLOCK_BYTES)),
        EXTENSIONS_OF_SMALL_CHUNKS(CHUNKED, EXTENSION.repeat(4)),
        TRAILER(CHUNKED + "0\r\na: ", NOISE),
        TRAILERS(CHUNKED + "0\r\n", FIELDS),
        BODY_OF_CHUNKS(CHUNKED, "4000\r\n" + NOISE + "\r\n");

        private final String mStart;
        private final String mBlock;

        Form(String start, String block) {
            mStart = start;
            mBlock = block;
        }
    }

    static Stream<Arguments> forms() {
        return Arrays.stream(Form.values())
                .flatMap(form -> Stream.of(Arguments.of(form, true), Arguments.of(form, false)));
    }

    @ParameterizedTest
    @MethodSource("forms")
    void bytesWithoutEndAreNotReadForLong(Form form, boolean isRead) throws Exception {
        HttpServer.RequestHandler handler =
                exchange -> {
                    if (isRead) {
                        exchange.readAll(TIMEOUT, MAX_BODY_BYTES);
                    }
                    exchange.answer(400, new HeaderMap(), new byte[0], TIMEOUT);
                };
        try (HttpServer server = new HttpServer("127.0.0.1", 0, HttpLimits.defaults(), 1, handler);
                RawCaller caller = new RawCaller("http://127.0.0.1:" + server.port())) {
            long beganNanos = System.nanoTime();
            long sentBytes = sendWithoutEnd(form, caller, beganNanos + MAX_SENDING.toNanos());
            Duration time = Duration.ofNanos(System.nanoTime() - beganNanos);
            String seen =
                    "%s, read %b: %d KiB sent, %d ms"
                            .formatted(form, isRead, sentBytes / 1024, time.toMillis());
            assertWithMessage(seen)
                    .that(sentBytes)
                    .isLessThan(isRead ? MAX_SENT_BYTES : MAX_UNREAD_BYTES);
            assertWithMessage(seen).that(time).isLessThan(MAX_TIME);
        }
    }

    /** Returns how many bytes could be sent until the connection was closed. */
    private static long sendWithoutEnd(Form form, RawCaller caller, long endNanos) {
        long sentBytes = 0;
        try {
            caller.send(form.mStart);
            while (System.nanoTime() - endNanos < 0) {
                caller.send(form.mBlock);
                sentBytes += form.mBlock.length();
            }
        } catch (IOException e) {
            // The listener has closed the connection, which is what is waited for.
        }
        return sentBytes;
    }
}
