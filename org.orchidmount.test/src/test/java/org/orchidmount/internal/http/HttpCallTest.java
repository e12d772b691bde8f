/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import static com.google.common.truth.Truth.assertThat;

import io.undertow.util.Methods;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.orchidmount.clock.SystemMonotonicClock;
import org.orchidmount.errors.CallFailedException;
import org.orchidmount.errors.Step;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Tests {@code HttpCall}. */
final class HttpCallTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final int CALLS = 200;
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
        XnioWorker worker =
                Xnio.getInstance()
                        .createWorker(
                                OptionMap.builder()
                                        .set(Options.WORKER_IO_THREADS, 1)
                                        .set(Options.THREAD_DAEMON, true)
                                        .getMap());
        try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
                HttpConnections connections =
                        new HttpConnections(worker, new SystemMonotonicClock(), TIMEOUT)) {
            Thread.ofVirtual().start(() -> serve(server, "HTTP/1.1 200 OK\r\n" + answer));
            Peer peer = new Peer("peer", "127.0.0.1", server.getLocalPort());
            for (int i = 0; i < CALLS; i++) {
                assertThat(read(connections, peer)).isEqualTo("whole");
            }
        } finally {
            worker.shutdownNow();
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
