/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.undertow.util.HeaderMap;
import io.undertow.util.Methods;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.orchidmount.errors.CallFailedException;
import org.orchidmount.errors.Step;
import org.orchidmount.junit.RawCaller;
import org.orchidmount.junit.RawUpstream;
import org.orchidmount.junit.TestConnections;

/** A request or a response that is cut by an orderly end of its connection is never whole. */
final class CutMessageTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";

    /** Uploads that end too early; the last ones have no length that HTTP knows for requests. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "PUT / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n{\"a\":1}",
                "PUT / HTTP/1.1\r\n"
                        + "Host: x\r\n"
                        + "Content-Length: 9\r\n"
                        + "Connection: close\r\n\r\n"
                        + "{\"a\":1}",
                "PUT / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n",
                "PUT / HTTP/1.0\r\nContent-Length: 9\r\n\r\n{\"a\":1}",
                "PUT / HTTP/1.0\r\nConnection: keep-alive\r\nContent-Length: 9\r\n\r\n{\"a\":1}",
                "PUT / HTTP/1.1\r\nHost: x\r\n" + CHUNKED + "7\r\n{\"a\":1}\r\n",
                "PUT / HTTP/1.1\r\nHost: x\r\n" + CHUNKED + "7\r\n{\"a\":1}\r\n0\r\n",
                "PUT / HTTP/1.1\r\nHost: x\r\n" + CHUNKED + "7\r\n{\"a\":1}",
                "PUT / HTTP/1.1\r\nHost: x\r\n" + CHUNKED + "7",
                "PUT / HTTP/1.1\r\nHost: x\r\n" + CHUNKED,
                "PUT / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                        + CHUNKED
                        + "7\r\n{\"a\":1}\r\n",
                "PUT / HTTP/1.0\r\n" + CHUNKED + "7\r\n{\"a\":1}\r\n",
                "PUT / HTTP/1.0\r\n\r\n{\"a\":1}",
                "PUT / HTTP/1.0\r\nConnection: close\r\n\r\n{\"a\":1}",
                "PUT / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n{\"a\":1}",
                "PUT / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: identity\r\n\r\n{\"a\":1}",
                "PUT / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip\r\n\r\n{\"a\":1}",
            })
    void aCutUploadIsNotRead(String request) throws Exception {
        BlockingQueue<String> bodies = new LinkedBlockingQueue<>();
        try (HttpServer server =
                new HttpServer(
                        "127.0.0.1",
                        0,
                        HttpLimits.defaults(),
                        1,
                        exchange -> bodies.add(body(exchange)))) {
            try (RawCaller caller = new RawCaller("http://127.0.0.1:" + server.port())) {
                caller.send(request);
            }
            String body = bodies.poll(1, TimeUnit.SECONDS);
            if (body != null) {
                assertThat(body).isAnyOf("cut", "");
            }
        }
    }

    /** Guards against an upload that is taken for whole wherever its connection ends. */
    @ParameterizedTest
    @ValueSource(strings = {"identity", "gzip", "chunked, identity", "chunked, gzip"})
    void anUploadThatOnlyTheConnectionEndsIsRefused(String coding) throws Exception {
        BlockingQueue<String> bodies = new LinkedBlockingQueue<>();
        try (HttpServer server =
                        new HttpServer(
                                "127.0.0.1",
                                0,
                                HttpLimits.defaults(),
                                1,
                                exchange -> bodies.add(body(exchange)));
                RawCaller caller = new RawCaller("http://127.0.0.1:" + server.port())) {
            caller.send("PUT / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: ");
            caller.send(coding + "\r\n\r\n{\"a\":1}");
            assertThat(bodies.poll(10, TimeUnit.SECONDS)).isEqualTo("cut");
        }
    }

    private static String body(ServerExchange exchange) throws Exception {
        String body;
        try {
            body = new String(exchange.readAll(TIMEOUT, 1_000), StandardCharsets.UTF_8);
        } catch (IOException e) {
            return "cut";
        }
        exchange.answer(200, new HeaderMap(), new byte[0], TIMEOUT);
        return body;
    }

    /** Responses that end too early. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"a\":1}",
                "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 9\r\n\r\n{\"a\":1}",
                "HTTP/1.0 200 OK\r\nContent-Length: 9\r\n\r\n{\"a\":1}",
                "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n",
                "HTTP/1.1 200 OK\r\n" + CHUNKED + "7\r\n{\"a\":1}\r\n",
                "HTTP/1.1 200 OK\r\nConnection: close\r\n" + CHUNKED + "7\r\n{\"a\":1}\r\n",
                "HTTP/1.1 200 OK\r\n" + CHUNKED + "7\r\n{\"a\":1}\r\n0\r\n",
                "HTTP/1.1 200 OK\r\n" + CHUNKED + "7\r\n{\"a\":",
                "HTTP/1.1 200 OK\r\n" + CHUNKED,
                "HTTP/1.0 200 OK\r\n" + CHUNKED + "7\r\n{\"a\":1}\r\n",
                "HTTP/1.1 200 OK\r\nContent-Len",
                "HTTP/1.1 200 OK",
                "",
            })
    void aCutResponseFailsTheCall(String response) throws Exception {
        RawUpstream.Script script =
                (request, connection) -> {
                    connection.send(response);
                    connection.end();
                };
        assertFails(script);
    }

    /** Responses whose end cannot be told, and that only the end of the connection would end. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Transfer-Encoding: gzip, chunked",
                "Transfer-Encoding: chunked, chunked",
                "Transfer-Encoding: chunked;x=1",
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity",
                "Transfer-Encoding: identity",
                "Transfer-Encoding: gzip",
                "Content-Length: 7\r\nContent-Length: 9",
                "Content-Length: 7, 9",
                "Content-Length: +7",
            })
    void aResponseWhoseEndCannotBeToldFailsTheCall(String field) throws Exception {
        RawUpstream.Script script =
                (request, connection) -> {
                    connection.send("HTTP/1.1 200 OK\r\n" + field + "\r\n\r\n{\"a\":1}\r\n");
                    connection.end();
                };
        assertFails(script);
    }

    /** Guards against an interim response that is taken for the final one. */
    @ParameterizedTest
    @ValueSource(ints = {101, 102, 103, 199})
    void anInterimResponseIsNotTheFinalOne(int status) throws Exception {
        RawUpstream.Script script =
                (request, connection) -> {
                    connection.send("HTTP/1.1 " + status + " Interim\r\n\r\n");
                    connection.send("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n{\"a\":1}");
                };
        assertFails(script);
    }

    /** What a caller reads through a tunnel, or of an upstream, that is killed. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n"})
    void aResponseWithoutLengthThatIsResetFailsTheCall(String head) throws Exception {
        RawUpstream.Script script =
                (request, connection) -> {
                    connection.send(head + "{\"a\":1}");
                    connection.reset();
                };
        assertFails(script);
    }

    private static void assertFails(RawUpstream.Script script) throws Exception {
        try (RawUpstream upstream = new RawUpstream(script);
                TestConnections connections = new TestConnections(TIMEOUT)) {
            Peer peer = new Peer("peer", "127.0.0.1", upstream.port());
            HttpHead head = HttpHead.of(Methods.GET, "/a");
            assertThrows(
                    CallFailedException.class,
                    () -> {
                        try (HttpCall call = connections.get().call(peer, Step.FORWARD, head)) {
                            call.awaitResponse(TIMEOUT);
                            call.readAll(TIMEOUT, 1_000);
                        }
                    });
        }
    }
}
