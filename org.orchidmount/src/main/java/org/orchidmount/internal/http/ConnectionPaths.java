/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import java.time.Duration;
import java.util.List;

/**
 * Decides how new connections to upstreams are opened, and is told what became of them.
 * Thread-safe; only {@link #awaitVerified} blocks.
 */
public interface ConnectionPaths {
    /** Opens every connection directly. */
    ConnectionPaths DIRECT_ONLY = new DirectOnlyPaths();

    /**
     * Returns how a new connection is to be opened.
     *
     * @return the path in use
     */
    ConnectionPath current();

    /**
     * Returns how long the path in use has been in use.
     *
     * @return the time since the last change
     */
    Duration sinceChange();

    /**
     * Waits while it is being verified whether upstreams can be reached directly. A request that
     * must not run twice would be lost if it were sent before that is known.
     */
    void awaitVerified();

    /**
     * Returns instances that may open a tunnel, the most promising first.
     *
     * @param most the maximum number
     * @return the instances
     */
    List<TunnelPeer> tunnelPeers(int most);

    /**
     * Records the result of a direct connection attempt.
     *
     * @param upstream the upstream
     * @param isConnected whether the connection was established
     */
    void dialled(Peer upstream, boolean isConnected);

    /**
     * Records the result of an attempt to open a tunnel.
     *
     * @param upstream the upstream at its end
     * @param through the instance that was asked
     * @param result the result
     */
    void tunnelled(Peer upstream, TunnelPeer through, TunnelResult result);

    /**
     * Records that a direct connection broke while a call used it.
     *
     * @param upstream the upstream
     */
    void broken(Peer upstream);

    /**
     * Records that an upstream began to respond to a call on a direct connection.
     *
     * @param upstream the upstream
     * @param took the time since the request was sent
     */
    void responded(Peer upstream, Duration took);

    /**
     * Records that bytes of an upstream were received on a direct connection.
     *
     * @param upstream the upstream
     */
    void heard(Peer upstream);

    /**
     * Records that a call on a direct connection waits for an upstream that sends nothing.
     *
     * @param upstream the upstream
     */
    void silent(Peer upstream);

    /** The result of an attempt to open a tunnel. */
    enum TunnelResult {
        /** The tunnel is open. */
        OPENED,
        /** The upstream refused the connection of the instance. */
        UPSTREAM_REFUSED,
        /** The upstream did not answer the instance in time. */
        UPSTREAM_SILENT,
        /** The instance could not be reached in time, or opens no tunnels at present. */
        INSTANCE_REFUSED
    }
}
