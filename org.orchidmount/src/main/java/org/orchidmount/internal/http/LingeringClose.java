/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.AbstractServerConnection;
import io.undertow.server.ServerConnection;
import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.orchidmount.internal.log.PartLog;
import org.xnio.IoUtils;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Closes a connection behind a whole response, so that its caller gets all of it, even if it goes
 * on sending: ends the output, discards the input within the bounds of {@link InputDiscard}, and
 * closes then (RFC 9112, section 9.6). Thread-safe; {@link #start} is for the I/O thread of the
 * connection.
 */
final class LingeringClose {
    private static final PartLog LOG = PartLog.of("http");

    private final Map<ServerConnection, CompletableFuture<Void>> mClosed =
            new ConcurrentHashMap<>();

    /**
     * Begins to close, if that has not begun; all bytes must have been handed to the system.
     *
     * @param connection the connection
     */
    void start(ServerConnection connection) {
        CompletableFuture<Void> closed = new CompletableFuture<>();
        if (!connection.isOpen() || mClosed.putIfAbsent(connection, closed) != null) {
            return;
        }
        connection.addCloseListener(
                ended -> {
                    mClosed.remove(ended);
                    closed.complete(null);
                });
        if (connection instanceof AbstractServerConnection known) {
            start(known);
        } else {
            IoUtils.safeClose(connection);
        }
    }

    /**
     * Waits until the callers of all connections have ended them as well.
     *
     * @param timeout the longest wait
     * @throws InterruptedException if the thread is interrupted
     */
    void await(Duration timeout) throws InterruptedException {
        CompletableFuture<?>[] closed = mClosed.values().toArray(CompletableFuture[]::new);
        try {
            CompletableFuture.allOf(closed).get(timeout.toNanos(), TimeUnit.NANOSECONDS);
        } catch (ExecutionException | TimeoutException e) {
            LOG.debug("callers have not ended their connections in time: %s", e);
        }
    }

    private static void start(AbstractServerConnection connection) {
        PooledByteBuffer ahead = connection.getExtraBytes();
        connection.setExtraBytes(null);
        if (ahead != null) {
            ahead.close();
        }
        Runnable close = () -> IoUtils.safeClose(connection);
        try {
            connection.getOriginalSinkConduit().terminateWrites();
        } catch (IOException e) {
            close.run();
            return;
        }
        StreamSourceConduit input = connection.getOriginalSourceConduit();
        InputDiscard discard =
                new InputDiscard(
                        connection.getIoThread(),
                        connection.getByteBufferPool(),
                        input::read,
                        close,
                        close);
        connection
                .getChannel()
                .getSourceChannel()
                .setReadListener(readable -> discard.onReadable());
        input.resumeReads();
        discard.onReadable();
    }
}
