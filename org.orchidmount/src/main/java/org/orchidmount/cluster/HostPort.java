/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

/**
 * An IP address and a TCP port.
 *
 * @param host the IP address
 * @param port the TCP port
 */
public record HostPort(String host, int port) {
    /** The largest TCP port. */
    public static final int MAX_PORT = 65_535;

    /**
     * Parses an address of the form {@code host:port}. The host is not checked.
     *
     * @param text the text to parse
     * @return the address
     * @throws IllegalArgumentException if the text has no host or no numeric port
     */
    public static HostPort parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException(
                    "'" + text + "' is not an address; expected host:port");
        }
        try {
            return new HostPort(
                    text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(
                    "'" + text + "' has no numeric port; expected host:port", e);
        }
    }

    // Explicit, because a record's generated methods are linked at run time, which slows each
    // start.
    @Override
    public boolean equals(Object other) {
        return other instanceof HostPort that && port == that.port && host.equals(that.host);
    }

    @Override
    public int hashCode() {
        return 31 * host.hashCode() + port;
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
