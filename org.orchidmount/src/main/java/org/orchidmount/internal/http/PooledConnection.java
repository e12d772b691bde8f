/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import io.undertow.client.ClientConnection;
import java.io.IOException;
import org.xnio.IoUtils;

/**
 * A connection to an upstream that serves one call after another.
 *
 * <p>Invariant: the library is given one close listener for the life of the connection, however
 * many calls it serves, because it never lets go of one. Thread-safe.
 */
final class PooledConnection {
    private final ClientConnection mConnection;
    private volatile HttpCall mCurrent;
    private volatile long mIdleLimitNanos = Long.MAX_VALUE;

    PooledConnection(ClientConnection connection) {
        mConnection = connection;
        connection.getIoThread().execute(() -> connection.addCloseListener(c -> onClosed()));
    }

    ClientConnection connection() {
        return mConnection;
    }

    /** Sets the call that is notified if the connection closes; null for none. */
    void setCurrent(HttpCall call) {
        mCurrent = call;
    }

    /** Sets how long the connection may rest and still be used again. */
    void setIdleLimitNanos(long nanos) {
        mIdleLimitNanos = nanos;
    }

    long idleLimitNanos() {
        return mIdleLimitNanos;
    }

    boolean isOpen() {
        return mConnection.isOpen();
    }

    /** Closes the connection on its I/O thread. */
    void closeLater() {
        mConnection.getIoThread().execute(() -> IoUtils.safeClose(mConnection));
    }

    /**
     * Fails the call that is under way, but only after the read that is under way: at the end of an
     * answer that ends its connection the library closes the connection from within that read.
     */
    private void onClosed() {
        HttpCall current = mCurrent;
        if (current != null) {
            mConnection
                    .getIoThread()
                    .execute(() -> current.failAll(new IOException("connection closed")));
        }
    }
}
