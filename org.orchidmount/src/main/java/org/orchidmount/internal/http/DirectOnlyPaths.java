/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import java.time.Duration;
import java.util.List;

/** The paths of an instance that knows no other instances. Stateless. */
final class DirectOnlyPaths implements ConnectionPaths {
    @Override
    public ConnectionPath current() {
        return ConnectionPath.DIRECT;
    }

    @Override
    public Duration sinceChange() {
        return Duration.ZERO;
    }

    @Override
    public void awaitVerified() {}

    @Override
    public List<TunnelPeer> tunnelPeers(int most) {
        return List.of();
    }

    @Override
    public void dialled(Peer upstream, boolean isConnected) {}

    @Override
    public void tunnelled(Peer upstream, TunnelPeer through, TunnelResult result) {}

    @Override
    public void broken(Peer upstream) {}

    @Override
    public void responded(Peer upstream, Duration took) {}

    @Override
    public void heard(Peer upstream) {}

    @Override
    public void silent(Peer upstream) {}
}
