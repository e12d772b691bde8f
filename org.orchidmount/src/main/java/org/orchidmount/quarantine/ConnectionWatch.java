/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.quarantine;

import java.io.IOException;
import java.net.ConnectException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;
import org.orchidmount.internal.http.AddressMap;
import org.orchidmount.internal.http.Peer;
import org.orchidmount.internal.log.PartLog;

/**
 * Watches an upstream through an idle TCP connection, which breaks when the process at the other
 * end terminates. A connection that is closed while the port still accepts connections was closed
 * because it was idle. Immutable and thread-safe.
 */
public final class ConnectionWatch implements TerminationWatch {
    private static final PartLog LOG = PartLog.of("crash");

    /** Far longer than a round trip within a site. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(100);

    private final TerminationProbe mProbe;
    private final AddressMap mAddresses;

    /**
     * Creates a watch.
     *
     * @param probe determines whether the port still accepts connections after the connection was
     *     closed
     * @param addresses where upstreams are dialled
     */
    public ConnectionWatch(TerminationProbe probe, AddressMap addresses) {
        mProbe = probe;
        mAddresses = addresses;
    }

    /**
     * Creates a watch that dials upstreams where they are registered.
     *
     * @param probe determines whether the port still accepts connections after the connection was
     *     closed
     */
    public ConnectionWatch(TerminationProbe probe) {
        this(probe, AddressMap.IDENTITY);
    }

    @Override
    public boolean awaitTermination(Peer peer, Duration timeout) {
        try (Socket socket = new Socket()) {
            socket.connect(mAddresses.toDialled(peer.address()), (int) CONNECT_TIMEOUT.toMillis());
            socket.setSoTimeout((int) timeout.toMillis());
            return awaitClose(socket) && mProbe.probe(peer) == TerminationProbe.Finding.ENDED;
        } catch (ConnectException e) {
            LOG.debug(
                    "upstream %s has terminated, its port refuses connections: %s",
                    peer.name(), e.getMessage());
            return true;
        } catch (IOException e) {
            LOG.debug(
                    "cannot watch upstream %s for its termination: %s",
                    peer.name(), e.getMessage());
            return false;
        }
    }

    /** Blocks until the peer closes the connection or the socket timeout expires. */
    private static boolean awaitClose(Socket socket) {
        try {
            return socket.getInputStream().read() < 0;
        } catch (SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            LOG.debug("connection to a watched upstream broke: %s", e.getMessage());
            return true;
        }
    }
}
