/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.orchidmount.errors.Step;
import org.orchidmount.internal.http.ConnectionPaths.TunnelResult;
import org.orchidmount.upstream.CancelSignal;

/** Connection attempts by which paths to upstreams are verified; none is kept. Thread-safe. */
public final class PathProbes {
    private final ConnectionOpener mOpener;
    private final ConnectionPaths mPaths;

    PathProbes(ConnectionOpener opener, ConnectionPaths paths) {
        mOpener = opener;
        mPaths = paths;
    }

    /**
     * Attempts a direct connection.
     *
     * @param peer the upstream
     * @param timeout the longest wait
     * @return whether it was established
     * @throws InterruptedException if the thread is interrupted
     */
    public boolean connects(Peer peer, Duration timeout) throws InterruptedException {
        Optional<PooledConnection> connection = mOpener.probe(peer, timeout);
        connection.ifPresent(PooledConnection::closeLater);
        return connection.isPresent();
    }

    /**
     * Attempts a connection through any other instance.
     *
     * @param peer the upstream
     * @return whether it was established
     */
    public boolean tunnels(Peer peer) {
        Optional<PooledConnection> connection =
                mOpener.openTunnel(peer, Step.FORWARD, new CancelSignal());
        connection.ifPresent(PooledConnection::closeLater);
        return connection.isPresent();
    }

    /**
     * Asks one instance whether it connects to an upstream.
     *
     * @param peer the upstream
     * @param through the instance
     * @return the result
     */
    public TunnelResult tunnel(Peer peer, TunnelPeer through) {
        return mOpener.probeTunnel(peer, through);
    }

    /**
     * Returns instances that may open a tunnel, the most promising first.
     *
     * @param most the maximum number
     * @return the instances
     */
    public List<TunnelPeer> tunnelPeers(int most) {
        return mPaths.tunnelPeers(most);
    }
}
