/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;

/**
 * The exchange that a caller's connection is serving now.
 *
 * <p>Invariant: the library is given one close listener for the life of the connection, however
 * many exchanges it serves, because it never lets go of one. Thread-safe.
 */
final class CurrentExchange {
    private static final AttachmentKey<CurrentExchange> KEY =
            AttachmentKey.create(CurrentExchange.class);

    private volatile ServerExchange mExchange;

    private CurrentExchange() {}

    /** Finds or makes the holder of a connection; must be called on its I/O thread. */
    static CurrentExchange of(ServerConnection connection) {
        CurrentExchange present = connection.getAttachment(KEY);
        if (present != null) {
            return present;
        }
        CurrentExchange made = new CurrentExchange();
        connection.putAttachment(KEY, made);
        connection.addCloseListener(closed -> made.onClosed());
        return made;
    }

    void set(ServerExchange exchange) {
        mExchange = exchange;
    }

    private void onClosed() {
        ServerExchange exchange = mExchange;
        if (exchange != null) {
            exchange.markGone();
        }
    }
}
