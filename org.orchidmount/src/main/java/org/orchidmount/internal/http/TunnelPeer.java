/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

/**
 * An instance that opens tunnels to upstreams for other instances. Immutable.
 *
 * @param node the name of the instance
 * @param zone its availability zone
 * @param host the IP address at which it accepts tunnels
 * @param port the TCP port at which it accepts tunnels
 * @param token proves to it that the caller is a member of the cluster; changes with each start
 */
public record TunnelPeer(String node, String zone, String host, int port, String token) {
    /** Leaves the token out, which is a secret. */
    @Override
    public String toString() {
        return node + " in " + zone + " at " + host + ":" + port;
    }
}
