/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Watches the connection of a caller whose request has been read, and notices that it is closed.
 *
 * <p>Invariants: what the caller sends ahead is kept for the library, as far as one of its buffers
 * holds it, and a caller that sends more is not watched on; what a caller that has left had sent
 * ahead is dropped, so that nothing is begun for it. The watch ends with the exchange, because the
 * library takes reads that are already resumed for its own. Confined to the I/O thread of the
 * exchange.
 */
final class CallerWatch {
    private final HttpServerExchange mExchange;
    private final AbstractServerConnection mConnection;
    private final StreamSourceConduit mConduit;
    private final Runnable mOnGone;

    private CallerWatch(
            HttpServerExchange exchange, AbstractServerConnection connection, Runnable onGone) {
        mExchange = exchange;
        mConnection = connection;
        mConduit = connection.getOriginalSourceConduit();
        mOnGone = onGone;
    }

    /**
     * Watches until the exchange is complete.
     *
     * @param exchange an exchange whose request has been read
     * @param onGone run once the caller has closed its connection
     */
    static void start(HttpServerExchange exchange, Runnable onGone) {
        if (!exchange.isComplete()
                && exchange.getConnection() instanceof AbstractServerConnection connection) {
            new CallerWatch(exchange, connection, onGone).start();
        }
    }

    private void start() {
        mExchange.addExchangeCompleteListener(
                (exchange, next) -> {
                    mConduit.suspendReads();
                    next.proceed();
                });
        mConnection.getChannel().getSourceChannel().setReadListener(readable -> onReadable());
        mConduit.resumeReads();
    }

    private void onReadable() {
        if (mExchange.isComplete()) {
            mConduit.suspendReads();
            return;
        }
        try {
            ByteBuffer ahead = sentAhead().getBuffer();
            if (readBehind(ahead) < 0) {
                gone();
            } else if (ahead.limit() == ahead.capacity()) {
                mConduit.suspendReads();
            }
        } catch (IOException e) {
            gone();
        }
    }

    private PooledByteBuffer sentAhead() {
        PooledByteBuffer held = mConnection.getExtraBytes();
        if (held != null) {
            return held;
        }
        PooledByteBuffer empty = mConnection.getByteBufferPool().allocate();
        empty.getBuffer().limit(0);
        mConnection.setExtraBytes(empty);
        return empty;
    }

    /** Reads behind the bytes that a buffer has up to its limit; returns -1 at the end. */
    private int readBehind(ByteBuffer held) throws IOException {
        ByteBuffer free = held.duplicate();
        free.limit(held.capacity());
        free.position(held.limit());
        int count = mConduit.read(free);
        held.limit(held.limit() + Math.max(0, count));
        return count;
    }

    private void gone() {
        mConduit.suspendReads();
        PooledByteBuffer ahead = mConnection.getExtraBytes();
        mConnection.setExtraBytes(null);
        if (ahead != null) {
            ahead.close();
        }
        mOnGone.run();
    }
}
