/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import java.net.InetSocketAddress;
import java.net.URI;

/**
 * Where an upstream listens. Immutable.
 *
 * @param name the upstream's name, for errors and logs
 * @param host its IP address
 * @param port its TCP port
 */
public record Peer(String name, String host, int port) {
    /**
     * Returns the address as a URI.
     *
     * @return the URI without path
     */
    public URI uri() {
        return URI.create("http://" + host + ":" + port);
    }

    /**
     * Returns the address as a socket address.
     *
     * @return the address, not resolved by name
     */
    public InetSocketAddress address() {
        return new InetSocketAddress(host, port);
    }

    // Written out, because the compiler's versions are linked at run time, at the first call.
    @Override
    public boolean equals(Object other) {
        return other instanceof Peer that
                && port == that.port
                && host.equals(that.host)
                && name.equals(that.name);
    }

    @Override
    public int hashCode() {
        return 31 * (31 * host.hashCode() + port) + name.hashCode();
    }
}
