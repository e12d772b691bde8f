/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.undertow.util.Headers;
import io.undertow.util.Methods;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.orchidmount.errors.CallFailedException;
import org.orchidmount.errors.Failure;
import org.orchidmount.errors.Step;
import org.orchidmount.junit.Await;
import org.orchidmount.junit.TestConnections;
import org.orchidmount.upstream.CancelSignal;

/** Tests {@code HttpCall}. */
final class HttpCallTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final int CALLS = 200;

    /** Far less than the library waits for an answer, and far more than a close takes. */
    private static final Duration NOTICED_WITHIN = Duration.ofSeconds(5);

    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";

    /** Answers that end their connection, each whole. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Connection: close\r\n" + CHUNKED + "\r\n5\r\nwhole\r\n0\r\n\r\n",
                "Connection: close\r\nContent-Length: 5\r\n\r\nwhole",
                "Connection: close\r\n\r\nwhole",
            })
    void aWholeAnswerThatEndsItsConnectionIsWhole(String answer) throws Exception {
        try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
                TestConnections connections = new TestConnections(TIMEOUT)) {
            Thread.ofVirtual().start(() -> serve(server, "HTTP/1.1 200 OK\r\n" + answer));
            Peer peer = new Peer("peer", "127.0.0.1", server.getLocalPort());
            for (int i = 0; i < CALLS; i++) {
                assertThat(read(connections.get(), peer)).isEqualTo("whole");
            }
        }
    }

    /** How far a call has come when it is broken off. */
    private enum Phase {
        REQUEST_BODY,
        RESPONSE_HEAD,
        RESPONSE_BODY
    }

    /** The library's close waits for the answer; the peer would work for up to 10 s in vain. */
    @ParameterizedTest
    @EnumSource(Phase.class)
    void aCallThatIsCancelledClosesItsConnection(Phase phase) throws Exception {
        CancelSignal cancel = new CancelSignal();
        try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
                TestConnections connections = new TestConnections(TIMEOUT)) {
            Peer peer = new Peer("peer", "127.0.0.1", server.getLocalPort());
            HttpHead head = HttpHead.of(Methods.POST, "/a").with(Headers.CONTENT_LENGTH, "100");
            try (HttpCall call =
                            connections.get().callFresh(peer, Step.FORWARD, head, true, cancel);
                    Socket socket = server.accept()) {
                advance(call, socket, phase);
                cancel.cancel(CancelSignal.Reason.CALLER_GONE);
                socket.setSoTimeout((int) NOTICED_WITHIN.toMillis());
                assertThat(readsToEnd(socket)).isTrue();
            }
        }
    }

    private static void advance(HttpCall call, Socket socket, Phase phase) throws Exception {
        int bodyBytes = phase == Phase.REQUEST_BODY ? 50 : 100;
        call.write(new byte[bodyBytes], TIMEOUT);
        if (phase == Phase.REQUEST_BODY) {
            return;
        }
        call.endRequest(TIMEOUT);
        if (phase == Phase.RESPONSE_BODY) {
            String part = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart";
            socket.getOutputStream().write(part.getBytes(StandardCharsets.US_ASCII));
            call.awaitResponse(TIMEOUT);
            assertThat(call.read(TIMEOUT)).hasLength(4);
        }
    }

    /** Tells whether a connection ends, in order or by a reset, rather than staying open. */
    private static boolean readsToEnd(Socket socket) {
        try {
            socket.getInputStream().transferTo(OutputStream.nullOutputStream());
            return true;
        } catch (SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    /** A peer whose queue of new connections is full lets them wait. */
    @Test
    void aCancelEndsTheWaitForAConnection() throws Exception {
        CancelSignal cancel = new CancelSignal();
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                FullQueue _ = new FullQueue(server);
                TestConnections connections = new TestConnections(Await.LONG)) {
            Peer peer = new Peer("peer", "127.0.0.1", server.getLocalPort());
            CompletableFuture<Failure> failure = new CompletableFuture<>();
            Thread calling =
                    Thread.ofVirtual()
                            .start(
                                    () ->
                                            failure.complete(
                                                    failure(connections.get(), peer, cancel)));
            Await.until(
                    "the call waits for its connection",
                    TIMEOUT,
                    () -> calling.getState() == Thread.State.TIMED_WAITING);
            cancel.cancel(CancelSignal.Reason.CALLER_GONE);
            Failure cancelled = failure.get(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
            assertThat(cancelled.mayHaveRun()).isFalse();
        }
    }

    private static Failure failure(HttpConnections connections, Peer peer, CancelSignal cancel) {
        HttpHead head = HttpHead.of(Methods.GET, "/a");
        try (HttpCall call = connections.call(peer, Step.FORWARD, head, cancel)) {
            throw new AssertionError("connected: " + call);
        } catch (CallFailedException e) {
            return e.failure();
        }
    }

    @Test
    void nothingIsBegunForWorkThatWasCancelled() throws Exception {
        CancelSignal cancel = new CancelSignal();
        cancel.cancel(CancelSignal.Reason.CALLER_GONE);
        try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
                TestConnections connections = new TestConnections(TIMEOUT)) {
            Peer peer = new Peer("peer", "127.0.0.1", server.getLocalPort());
            assertThat(failure(connections.get(), peer, cancel).mayHaveRun()).isFalse();
            server.setSoTimeout(1);
            assertThrows(SocketTimeoutException.class, server::accept);
        }
    }

    /** Fills the queue of new connections of a socket that accepts none. */
    private static final class FullQueue implements AutoCloseable {
        private final List<SocketChannel> mWaiting = new ArrayList<>();

        FullQueue(ServerSocket server) throws IOException {
            for (int i = 0; i < 4; i++) {
                SocketChannel channel = SocketChannel.open();
                channel.configureBlocking(false);
                channel.connect(server.getLocalSocketAddress());
                mWaiting.add(channel);
            }
        }

        @Override
        public void close() throws IOException {
            for (SocketChannel channel : mWaiting) {
                channel.close();
            }
        }
    }

    private static String read(HttpConnections connections, Peer peer) {
        try (HttpCall call = connections.call(peer, Step.FORWARD, HttpHead.of(Methods.GET, "/a"))) {
            call.awaitResponse(TIMEOUT);
            return new String(call.readAll(TIMEOUT, 100), StandardCharsets.US_ASCII);
        } catch (CallFailedException e) {
            return e.failure().describe();
        }
    }

    private static void serve(ServerSocket server, String answer) {
        while (true) {
            try (Socket socket = server.accept()) {
                InputStream in = socket.getInputStream();
                int ends = 0;
                while (ends < 4) {
                    int next = in.read();
                    ends = next == '\r' || next == '\n' ? ends + 1 : 0;
                }
                socket.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
            } catch (IOException e) {
                return;
            }
        }
    }
}
