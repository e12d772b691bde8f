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
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.orchidmount.junit.CallerKind;
import org.orchidmount.junit.FramingCaller;

/** Requests that arrive while a listener closes. */
final class HttpServerCloseTest {
    private static final Duration LONGEST = Duration.ofSeconds(10);
    private static final int SERVERS = 60;
    private static final int CALLERS = 12;

    /** Guards against an end that is told as an error of the instance. */
    @Test
    void whatArrivesDuringTheCloseIsGivenUpBecauseTheInstanceStops() throws Exception {
        for (int i = 0; i < SERVERS; i++) {
            String counts = closeUnderLoad();
            assertWithMessage("server %s", i).that(counts).doesNotContain("INTERNAL_ERROR");
        }
    }

    private static String closeUnderLoad() throws InterruptedException {
        AtomicBoolean isOver = new AtomicBoolean();
        HttpServer server =
                new HttpServer(
                        "127.0.0.1", 0, HttpLimits.defaults(), 1, HttpServerCloseTest::serve);
        int port = server.port();
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            callers.add(Thread.ofVirtual().start(() -> callUntil(isOver, port)));
        }
        Thread.sleep(Duration.ofMillis(20));
        server.close();
        isOver.set(true);
        for (Thread caller : callers) {
            caller.join(LONGEST);
        }
        return server.abortedResponses().toString();
    }

    private static void callUntil(AtomicBoolean isOver, int port) {
        while (!isOver.get()) {
            try (FramingCaller caller =
                    new FramingCaller(CallerKind.HTTP_1_1, "127.0.0.1", port, LONGEST)) {
                caller.send("GET", "/x", "Host: a\r\n", "");
                caller.read();
            } catch (IOException e) {
                return;
            }
        }
    }

    private static void serve(ServerExchange exchange) throws Exception {
        exchange.readAll(LONGEST, 100);
        exchange.answer(200, new HeaderMap(), new byte[1], LONGEST);
    }
}
