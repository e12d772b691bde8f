/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.path;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.orchidmount.clock.SystemMonotonicClock;
import org.orchidmount.internal.http.AddressMap;
import org.orchidmount.junit.Await;

/** Whom tunnels are opened for, where they lead, and how they end. */
final class TunnelServerTest {
    private static final Duration LONGEST = Duration.ofSeconds(20);
    private static final String LOOPBACK = "127.0.0.1";

    private ServerSocket mUpstream;
    private TunnelServer mServer;
    private volatile boolean mIsDirect = true;

    @BeforeEach
    void start() throws IOException {
        mUpstream = new ServerSocket(0, 8, InetAddress.getByName(LOOPBACK));
        mServer =
                new TunnelServer(
                        LOOPBACK,
                        0,
                        "X-Request-Id",
                        (host, port) -> port == mUpstream.getLocalPort(),
                        () -> mIsDirect,
                        AddressMap.IDENTITY,
                        new SystemMonotonicClock());
    }

    @AfterEach
    void stop() throws IOException {
        mServer.close();
        mUpstream.close();
    }

    private Socket request(String line, String token) throws IOException {
        Socket socket = new Socket(LOOPBACK, mServer.port());
        socket.setSoTimeout((int) LONGEST.toMillis());
        String head =
                line + "\r\nOrchidmount-Tunnel-Token: " + token + "\r\nX-Request-Id: id-1\r\n\r\n";
        socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    private Socket request(int port) throws IOException {
        return request("GET /tunnel/127.0.0.1:" + port + " HTTP/1.1", mServer.token());
    }

    private static String head(Socket socket) throws IOException {
        StringBuilder head = new StringBuilder();
        InputStream in = socket.getInputStream();
        while (!head.toString().endsWith("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                return head.toString();
            }
            head.append((char) next);
        }
        return head.toString();
    }

    @Test
    void bytesPassInBothDirections() throws IOException {
        try (Socket caller = request(mUpstream.getLocalPort());
                Socket upstream = mUpstream.accept()) {
            assertThat(head(caller)).startsWith("HTTP/1.1 200 ");
            caller.getOutputStream().write("ask".getBytes(StandardCharsets.US_ASCII));
            assertThat(upstream.getInputStream().readNBytes(3))
                    .isEqualTo("ask".getBytes(StandardCharsets.US_ASCII));
            upstream.getOutputStream().write("told".getBytes(StandardCharsets.US_ASCII));
            assertThat(caller.getInputStream().readNBytes(4))
                    .isEqualTo("told".getBytes(StandardCharsets.US_ASCII));
        }
    }

    /** Guards against a response that is cut off looking complete to the caller. */
    @Test
    void aResetOfTheUpstreamIsAResetForTheCaller() throws IOException {
        try (Socket caller = request(mUpstream.getLocalPort())) {
            Socket upstream = mUpstream.accept();
            assertThat(head(caller)).contains("200");
            upstream.setSoLinger(true, 0);
            upstream.close();
            assertThrows(SocketException.class, () -> caller.getInputStream().read());
        }
    }

    /** Guards against upstreams that work for callers who have left. */
    @Test
    void theEndOfTheCallerIsTheEndForTheUpstream() throws IOException {
        Socket caller = request(mUpstream.getLocalPort());
        try (Socket upstream = mUpstream.accept()) {
            assertThat(head(caller)).contains("200");
            caller.close();
            upstream.setSoTimeout((int) LONGEST.toMillis());
            assertThat(upstream.getInputStream().read()).isEqualTo(-1);
        }
    }

    /** Guards against an open proxy: strangers, other targets, circles, and what is no request. */
    @ParameterizedTest
    @CsvSource({
        "token, 403",
        "target, 503",
        "isolated, 503",
        "draining, 503",
    })
    void whatMustNotBeOpenedIsRefused(String reason, int status) throws IOException {
        mIsDirect = !reason.equals("isolated");
        if (reason.equals("draining")) {
            mServer.stopOpening();
        }
        int port = reason.equals("target") ? 1 : mUpstream.getLocalPort();
        String token = reason.equals("token") ? "guess" : mServer.token();
        try (Socket caller = request("GET /tunnel/127.0.0.1:" + port + " HTTP/1.1", token)) {
            assertThat(head(caller)).startsWith("HTTP/1.1 " + status);
        }
        assertThat(mServer.toString()).startsWith("0 opened");
    }

    /** Guards against a stream that an instance which stops takes for ended at its first pause. */
    @Test
    void aStopWaitsForAStreamWithPauses() throws Exception {
        CompletableFuture<Void> drained;
        try (Socket caller = request(mUpstream.getLocalPort());
                Socket upstream = mUpstream.accept()) {
            assertThat(head(caller)).startsWith("HTTP/1.1 200 ");
            drained = CompletableFuture.runAsync(this::drain);
            for (int i = 0; i < 5; i++) {
                upstream.getOutputStream().write(i);
                Thread.sleep(Duration.ofMillis(200));
                assertThat(drained.isDone()).isFalse();
            }
        }
        drained.get(LONGEST.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void drain() {
        try {
            mServer.drain(LONGEST);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "GET / HTTP/1.1",
                "POST /tunnel/127.0.0.1:80 HTTP/1.1",
                "GET /tunnel/127.0.0.1 HTTP/1.1",
                "GET /tunnel/:x HTTP/1.1",
                "GET /tunnel/ HTTP/1.1",
                "GET /tunnel/ HTTP",
                "x",
                "",
            })
    void whatIsNoRequestIsClosed(String line) throws IOException {
        try (Socket caller = request(line, mServer.token())) {
            assertThat(head(caller)).isEmpty();
        }
    }

    /** Guards against a head without an end that takes memory. */
    @Test
    void anEndlessHeadIsClosed() throws IOException {
        try (Socket caller = new Socket(LOOPBACK, mServer.port())) {
            byte[] line = "x".repeat(5_000).getBytes(StandardCharsets.US_ASCII);
            caller.getOutputStream().write(line);
            caller.setSoTimeout((int) LONGEST.toMillis());
            Await.until("closed", LONGEST, () -> isClosed(caller));
        }
    }

    private static boolean isClosed(Socket caller) {
        try {
            return caller.getInputStream().read() < 0;
        } catch (IOException e) {
            return true;
        }
    }

    /** Guards against tunnels that are kept for callers that have gone without a sign. */
    @Test
    void aTunnelThatCarriesNothingEnds() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getByName(LOOPBACK));
                Socket caller = new Socket(LOOPBACK, listener.getLocalPort());
                Socket accepted = listener.accept();
                Socket upstream = new Socket(LOOPBACK, mUpstream.getLocalPort());
                Socket atUpstream = mUpstream.accept()) {
            AtomicLong bytes = new AtomicLong();
            Tunnel tunnel =
                    new Tunnel(
                            accepted,
                            upstream,
                            bytes,
                            new SystemMonotonicClock(),
                            Duration.ofMillis(200));
            Thread running = Thread.ofVirtual().start(tunnel::run);
            caller.getOutputStream().write(1);
            assertThat(atUpstream.getInputStream().read()).isEqualTo(1);
            assertThat(running.join(LONGEST)).isTrue();
            assertThat(atUpstream.getInputStream().read()).isEqualTo(-1);
            assertThat(bytes.get()).isEqualTo(1);
        }
    }
}
