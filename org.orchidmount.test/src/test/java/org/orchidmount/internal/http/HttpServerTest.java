/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import static com.google.common.truth.Truth.assertThat;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import java.io.IOException;
import java.lang.ref.WeakReference;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.orchidmount.errors.Step;
import org.orchidmount.junit.Await;
import org.orchidmount.junit.RawCaller;
import org.orchidmount.junit.TestConnections;

/** Tests {@link HttpServer} and {@link HttpConnections} over one connection that stays open. */
class HttpServerTest {
    private static final int REQUESTS = 200;
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final HttpString IDENTITY = new HttpString("X-Request-Id");
    private static final byte[] BODY = "ok".getBytes(StandardCharsets.UTF_8);

    private static HttpServer server(HttpServer.RequestHandler handler) {
        return new HttpServer("127.0.0.1", 0, HttpLimits.defaults(), 1, handler);
    }

    /** A request that has been answered must not be kept by the connection that brought it. */
    @Test
    void endedRequestsAreNotKeptWhileTheConnectionStaysOpen() throws Exception {
        List<WeakReference<ServerExchange>> exchanges = new CopyOnWriteArrayList<>();
        List<WeakReference<HttpCall>> calls = new ArrayList<>();
        try (HttpServer server =
                        server(
                                exchange -> {
                                    exchanges.add(new WeakReference<>(exchange));
                                    exchange.answer(200, identity(exchange), BODY, TIMEOUT);
                                });
                TestConnections connections = new TestConnections(TIMEOUT)) {
            Peer peer = new Peer("server", "127.0.0.1", server.port());
            for (int i = 0; i < REQUESTS; i++) {
                calls.add(new WeakReference<>(call(connections.get(), peer, "call-" + i)));
            }
            assertThat(connections.get().counters().openedCount()).isEqualTo(1);
            Await.until("exchanges are freed", Await.LONG, () -> isMostlyFree(exchanges));
            Await.until("calls are freed", Await.LONG, () -> isMostlyFree(calls));
        }
    }

    private static HeaderMap identity(ServerExchange exchange) {
        return new HeaderMap().put(IDENTITY, exchange.header(IDENTITY.toString()));
    }

    private static HttpCall call(HttpConnections connections, Peer peer, String identity)
            throws Exception {
        HttpHead head = HttpHead.of(Methods.GET, "/").with(IDENTITY, identity);
        try (HttpCall call = connections.call(peer, Step.FORWARD, head)) {
            assertThat(call.readAll(TIMEOUT, 100)).isEqualTo(BODY);
            return call;
        }
    }

    private static <T> boolean isMostlyFree(List<WeakReference<T>> references) {
        System.gc();
        long kept = references.stream().filter(reference -> reference.get() != null).count();
        return references.size() == REQUESTS && kept < REQUESTS / 10;
    }

    /**
     * Requests sent ahead on one connection are served in order, although the caller is watched.
     */
    @Test
    void requestsSentAheadAreNotLost() throws IOException {
        CountDownLatch secondIsSent = new CountDownLatch(1);
        try (HttpServer server =
                        server(
                                exchange -> {
                                    exchange.readAll(TIMEOUT, 100);
                                    assertThat(secondIsSent.await(30, TimeUnit.SECONDS)).isTrue();
                                    byte[] path = exchange.path().getBytes(StandardCharsets.UTF_8);
                                    exchange.answer(200, new HeaderMap(), path, TIMEOUT);
                                });
                RawCaller caller = new RawCaller("http://127.0.0.1:" + server.port())) {
            caller.send("GET /first HTTP/1.1\r\nHost: x\r\n\r\n");
            Await.until("the first is served", Await.LONG, () -> server.active() == 1);
            caller.send("GET /second HTTP/1.1\r\nHost: x\r\n\r\nGET /third HTTP/1.1\r\n");
            secondIsSent.countDown();
            caller.readUntil("/first");
            caller.readUntil("/second");
            caller.send("Host: x\r\n\r\n");
            caller.readUntil("/third");
        }
    }

    /**
     * A caller that goes is noticed while its handler writes nothing, also if it has sent the
     * beginning of another request: with the first, or later.
     */
    @ParameterizedTest
    @CsvSource({"'',''", "GET /b,''", "'',GET /b", "GET /b, HTTP/1.1"})
    void goneCallerIsNoticed(String sentWithTheFirst, String sentLater) throws Exception {
        CountDownLatch gone = new CountDownLatch(1);
        CountDownLatch read = new CountDownLatch(1);
        try (HttpServer server =
                server(
                        exchange -> {
                            exchange.onGone(gone::countDown);
                            exchange.readAll(TIMEOUT, 100);
                            read.countDown();
                            gone.await();
                        })) {
            try (RawCaller caller = new RawCaller("http://127.0.0.1:" + server.port())) {
                caller.send(
                        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nxx"
                                + sentWithTheFirst);
                assertThat(read.await(30, TimeUnit.SECONDS)).isTrue();
                caller.send(sentLater);
            }
            assertThat(gone.await(30, TimeUnit.SECONDS)).isTrue();
        }
    }
}
