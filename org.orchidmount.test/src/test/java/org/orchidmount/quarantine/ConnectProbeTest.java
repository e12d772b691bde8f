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
import org.junit.jupiter.api.Test;
import org.orchidmount.internal.http.Peer;

/**
 * An upstream is found to have ended even if its port is closed a little after its connections.
 *
 * <p>Seen: once, a completion ended a fourth engine. How it comes about: the sockets of a process
 * that ends are closed one after the other, and the probe looked between the connection of the
 * request and the port; it looked once, so that end never counted. What proves it: a port that is
 * closed only when the first look has reached it.
 */
final class ConnectProbeTest {
    private static Peer peer(ServerSocket socket) {
        return new Peer("engine", "127.0.0.1", socket.getLocalPort());
    }

    private static ServerSocket listen() throws IOException {
        return new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    }

    @Test
    void aPortThatIsClosedAfterTheFirstLookHasEnded() throws IOException {
        ServerSocket socket = listen();
        TerminationProbe probe = new ConnectProbe(pause -> closeQuietly(socket));
        assertThat(probe.probe(peer(socket))).isEqualTo(TerminationProbe.Finding.ENDED);
    }

    @Test
    void aPortThatIsClosedHasEndedWithoutAPause() throws IOException {
        ServerSocket socket = listen();
        socket.close();
        TerminationProbe probe =
                new ConnectProbe(
                        pause -> {
                            throw new AssertionError("there is nothing to wait for");
                        });
        assertThat(probe.probe(peer(socket))).isEqualTo(TerminationProbe.Finding.ENDED);
    }

    @Test
    void aPortThatStaysOpenListens() throws IOException {
        try (ServerSocket socket = listen()) {
            assertThat(new ConnectProbe().probe(peer(socket)))
                    .isEqualTo(TerminationProbe.Finding.LISTENS);
        }
    }

    private static void closeQuietly(ServerSocket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            throw new AssertionError("the port is closed", e);
        }
    }
}
