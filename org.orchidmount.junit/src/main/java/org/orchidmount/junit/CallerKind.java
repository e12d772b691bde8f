/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.junit;

/** The protocol version of a caller, and what it asks of its connection. */
public enum CallerKind {
    /** HTTP/1.1, whose connections are kept. */
    HTTP_1_1("HTTP/1.1", ""),
    /** HTTP/1.1 with a connection for each request. */
    HTTP_1_1_CLOSE("HTTP/1.1", "Connection: close\r\n"),
    /** HTTP/1.0, which knows no chunks. */
    HTTP_1_0("HTTP/1.0", ""),
    /** HTTP/1.0 with kept connections. */
    HTTP_1_0_KEEP_ALIVE("HTTP/1.0", "Connection: keep-alive\r\n");

    private final String mVersion;
    private final String mConnectionField;

    CallerKind(String version, String connectionField) {
        mVersion = version;
        mConnectionField = connectionField;
    }

    /**
     * Returns the version as it stands in a request line.
     *
     * @return the version
     */
    public String version() {
        return mVersion;
    }

    /**
     * Returns the header field for the connection.
     *
     * @return the line with its end; empty if there is none
     */
    public String connectionField() {
        return mConnectionField;
    }

    /**
     * Tells whether a second request may be sent behind a response that states its length.
     *
     * @return true if connections are kept
     */
    public boolean keepsConnections() {
        return this == HTTP_1_1 || this == HTTP_1_0_KEEP_ALIVE;
    }
}
