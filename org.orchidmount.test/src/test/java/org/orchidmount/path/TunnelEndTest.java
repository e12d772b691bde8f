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
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.orchidmount.clock.SystemMonotonicClock;
import org.orchidmount.internal.http.AddressMap;
import org.orchidmount.junit.ChildProcess;

/**
 * A response without length that is read through a tunnel ends in order if and only if its upstream
 * has ended it so.
 */
final class TunnelEndTest {
    private static final Duration LONGEST = Duration.ofSeconds(20);
    private static final String LOOPBACK = "127.0.0.1";
    private static final byte[] PART = "data: 1\n\n".getBytes(StandardCharsets.US_ASCII);

    @TempDir Path mFolder;

    private ServerSocket mListener;
    private TunnelServer mServer;

    @BeforeEach
    void start() throws IOException {
        mListener = new ServerSocket(0, 8, InetAddress.getByName(LOOPBACK));
        mServer =
                new TunnelServer(
                        LOOPBACK,
                        0,
                        "X-Request-Id",
                        (host, port) -> true,
                        () -> true,
                        AddressMap.IDENTITY,
                        new SystemMonotonicClock());
    }

    @AfterEach
    void stop() throws IOException {
        mServer.close();
        mListener.close();
    }

    /** Opens a tunnel to the listener and reads the head of the response. */
    private Socket open(int port, String token) throws IOException {
        Socket socket = new Socket(LOOPBACK, port);
        socket.setSoTimeout((int) LONGEST.toMillis());
        String head =
                "GET /tunnel/127.0.0.1:%d HTTP/1.1\r\nOrchidmount-Tunnel-Token: %s\r\n\r\n"
                        .formatted(mListener.getLocalPort(), token);
        socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
        InputStream in = socket.getInputStream();
        StringBuilder response = new StringBuilder();
        while (!response.toString().endsWith("\r\n\r\n")) {
            int next = in.read();
            assertThat(next).isAtLeast(0);
            response.append((char) next);
        }
        assertThat(response.toString()).startsWith("HTTP/1.1 200 ");
        return socket;
    }

    private Socket accept() throws IOException {
        Socket upstream = mListener.accept();
        upstream.setSoTimeout((int) LONGEST.toMillis());
        return upstream;
    }

    /** Guards against a planned stop that makes a response that is cut look whole. */
    @Test
    void theStopOfTheInstanceIsAResetForBoth() throws Exception {
        try (Socket caller = open(mServer.port(), mServer.token());
                Socket upstream = accept()) {
            upstream.getOutputStream().write(PART);
            assertThat(caller.getInputStream().readNBytes(PART.length)).isEqualTo(PART);
            mServer.close();
            assertThrows(SocketException.class, () -> caller.getInputStream().read());
            assertThrows(SocketException.class, () -> upstream.getInputStream().read());
        }
    }

    /** Guards against a crash that makes a response that is cut look whole. */
    @Test
    void theCrashOfTheInstanceIsAResetForBoth() throws Exception {
        try (ChildProcess process =
                        ChildProcess.start(
                                "tunnels",
                                mFolder,
                                List.of(),
                                TunnelProcess.class.getName(),
                                List.of());
                Socket caller = open(process.port("port"), token(process));
                Socket upstream = accept()) {
            upstream.getOutputStream().write(PART);
            assertThat(caller.getInputStream().readNBytes(PART.length)).isEqualTo(PART);
            process.kill();
            assertThrows(SocketException.class, () -> caller.getInputStream().read());
            assertThrows(SocketException.class, () -> upstream.getInputStream().read());
        }
    }

    private static String token(ChildProcess process) {
        return process.log()
                .lines()
                .filter(line -> line.startsWith("token="))
                .findFirst()
                .orElseThrow()
                .substring("token=".length());
    }

    /** Guards against resets that cut whole responses, at a caller that reads or sends late. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void whatTheUpstreamEndsInOrderIsWhole(boolean sendsMore) throws Exception {
        byte[] body = new byte[300 * 1024];
        new SplittableRandom(1).nextBytes(body);
        try (Socket caller = open(mServer.port(), mServer.token());
                Socket upstream = accept()) {
            Thread sender = Thread.ofVirtual().start(() -> sendAndEnd(upstream, body));
            assertThat(sender.join(LONGEST)).isTrue();
            if (sendsMore) {
                caller.getOutputStream().write(PART);
            }
            byte[] received = new byte[body.length];
            for (int at = 0; at < body.length; ) {
                int count =
                        caller.getInputStream()
                                .read(received, at, Math.min(8_192, body.length - at));
                assertThat(count).isAtLeast(1);
                at += count;
                if (sendsMore) {
                    caller.getOutputStream().write(PART);
                }
                Thread.sleep(5);
            }
            assertThat(received).isEqualTo(body);
            assertThat(caller.getInputStream().read()).isEqualTo(-1);
        }
    }

    private static void sendAndEnd(Socket upstream, byte[] body) {
        try {
            upstream.getOutputStream().write(body);
            upstream.shutdownOutput();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
