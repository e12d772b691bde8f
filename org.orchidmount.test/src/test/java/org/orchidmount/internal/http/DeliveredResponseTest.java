/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.undertow.util.HeaderMap;
import java.time.Duration;
import java.util.Arrays;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.orchidmount.junit.CallerKind;
import org.orchidmount.junit.FramedResponse;
import org.orchidmount.junit.FramingCaller;

/** Callers that close their connection as soon as they have a whole response. */
final class DeliveredResponseTest {
    private static final Duration LONGEST = Duration.ofSeconds(10);
    private static final int REQUESTS = 1_000;
    private static final Duration STALL_TIME = Duration.ofSeconds(5);
    private static final String STREAM = "/stream";

    private final Queue<Exception> mFailures = new ConcurrentLinkedQueue<>();

    static Stream<Arguments> cases() {
        return Arrays.stream(CallerKind.values())
                .flatMap(
                        kind ->
                                Stream.of(
                                        Arguments.of(kind, "/whole", false),
                                        Arguments.of(kind, "/whole", true),
                                        Arguments.of(kind, STREAM, false),
                                        Arguments.of(kind, STREAM, true)));
    }

    /** Guards against whole responses that are reported as left by their callers. */
    @ParameterizedTest
    @MethodSource("cases")
    void aDeliveredResponseIsNotReportedAsLeft(CallerKind kind, String path, boolean isHeld)
            throws Exception {
        try (HttpServer server =
                new HttpServer(
                        "127.0.0.1",
                        0,
                        HttpLimits.defaults(),
                        1,
                        exchange -> serve(exchange, isHeld))) {
            for (int i = 0; i < REQUESTS; i++) {
                try (FramingCaller caller =
                        new FramingCaller(kind, "127.0.0.1", server.port(), LONGEST)) {
                    caller.send("GET", path, "Host: a\r\n", "");
                    FramedResponse response = caller.read();
                    assertWithMessage(response.toString()).that(response.isComplete()).isTrue();
                }
            }
        }
        assertThat(mFailures).isEmpty();
    }

    private void serve(ServerExchange exchange, boolean isHeld) throws Exception {
        exchange.readAll(LONGEST, 100);
        if (isHeld) {
            exchange.holdUnread(disconnect -> new UnlimitedBytes(), STALL_TIME);
        }
        try {
            if (exchange.path().equals(STREAM)) {
                exchange.start(200, new HeaderMap());
                exchange.write(new byte[100], LONGEST);
                exchange.end(LONGEST);
            } else {
                exchange.answer(200, new HeaderMap(), new byte[100], LONGEST);
            }
        } catch (Exception e) {
            mFailures.add(e);
        }
    }
}
