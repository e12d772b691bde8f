/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.quarantine;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.orchidmount.internal.http.Peer;

/** What a connection that carries nothing tells of the process at its other end. */
final class ConnectionWatchTest {
    private static final Duration SHORT = Duration.ofMillis(50);
    private static final Duration LONG = Duration.ofSeconds(20);

    private final ConnectionWatch mWatch = new ConnectionWatch(new ConnectProbe());

    private static ServerSocket listen() throws IOException {
        return new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
    }

    private static Peer peer(ServerSocket server) {
        return new Peer("i-1", "127.0.0.1", server.getLocalPort());
    }

    @Test
    void oneThatListensOnHasNotEnded() throws IOException {
        try (ServerSocket server = listen()) {
            assertThat(mWatch.awaitTermination(peer(server), SHORT)).isFalse();
        }
    }

    @Test
    void oneThatRefusesHasEnded() throws IOException {
        Peer peer;
        try (ServerSocket server = listen()) {
            peer = peer(server);
        }
        assertThat(mWatch.awaitTermination(peer, LONG)).isTrue();
    }

    @Test
    void oneThatEndsIsSeen() throws IOException {
        ServerSocket server = listen();
        Thread.ofVirtual().start(() -> end(server));
        assertThat(mWatch.awaitTermination(peer(server), LONG)).isTrue();
    }

    /** As the end of a process: its port first, then what was connected. */
    private static void end(ServerSocket server) {
        try {
            Socket watched = server.accept();
            server.close();
            watched.close();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /** An upstream closes connections that rest; that is no end. */
    @Test
    void oneThatOnlyClosesTheConnectionHasNotEnded() throws IOException {
        try (ServerSocket server = listen()) {
            Thread.ofVirtual().start(() -> closeNext(server));
            assertThat(mWatch.awaitTermination(peer(server), LONG)).isFalse();
        }
    }

    private static void closeNext(ServerSocket server) {
        try {
            server.accept().close();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }
}
