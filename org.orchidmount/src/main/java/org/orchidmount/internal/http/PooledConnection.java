/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import io.undertow.client.ClientConnection;
import java.io.IOException;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import org.orchidmount.internal.log.PartLog;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSourceChannel;

/**
 * A connection to an upstream that serves one call after another.
 *
 * <p>Invariants: at most one call has the connection; what a call does to it after it has ended has
 * no effect, because another call may have it by then. The library is given one close listener for
 * the life of the connection, however many calls it serves, because it never lets go of one.
 * Thread-safe; calls begin one after another.
 */
final class PooledConnection {
    private static final PartLog LOG = PartLog.of("connections");

    /** Calls after which a connection is closed, so that few identities are kept. */
    private static final int MAX_USES = 256;

    private final ClientConnection mConnection;
    private final ReceiveLimit mLimit;
    private final long mOpenedNanos;
    private final long mNumber;
    private final Optional<String> mThrough;
    private final Runnable mOnSurplus;

    /**
     * The call that has the connection adds, and the pool asks when no call has it; the pool's
     * lock, under which it is handed over, orders the two.
     */
    private final Set<String> mIdentities = new HashSet<>();

    private final AtomicReference<HttpCall> mCurrent = new AtomicReference<>();
    private volatile boolean mIsClosedHere;
    private volatile long mReceivedBytes;
    private volatile int mUses;
    private volatile long mIdleLimitNanos = Long.MAX_VALUE;

    /**
     * Takes a connection that has just been opened.
     *
     * @param dialled the connection
     * @param openedNanos when it was opened, of the monotonic clock
     * @param number tells it apart from the others of its pool, for log lines
     * @param through the instance whose tunnel it is; empty if it is direct
     * @param onSurplus runs if bytes arrive that no call has asked for
     */
    PooledConnection(
            DialledConnection dialled,
            long openedNanos,
            long number,
            Optional<String> through,
            Runnable onSurplus) {
        mConnection = dialled.connection();
        mLimit = dialled.limit();
        mOpenedNanos = openedNanos;
        mNumber = number;
        mThrough = through;
        mOnSurplus = onSurplus;
        mConnection.getIoThread().execute(() -> mConnection.addCloseListener(c -> onClosed()));
    }

    /** Returns the instance whose tunnel this is; empty if the connection is direct. */
    Optional<String> through() {
        return mThrough;
    }

    long openedNanos() {
        return mOpenedNanos;
    }

    /** Makes the next call the first one, after the handshake of a tunnel. */
    void handshakeEnded() {
        mUses = 0;
    }

    ClientConnection connection() {
        return mConnection;
    }

    /** Limits what the response to the next request may bring beside its body. */
    void restartLimit() {
        mLimit.restart();
    }

    /** Returns what moves the body of a response to a queue. */
    ChannelPump pump(StreamSourceChannel body, ByteQueue queue) {
        return new ChannelPump(body, mConnection.getBufferPool(), queue, mLimit);
    }

    /** Begins a call, which is notified if the connection closes. */
    void begin(HttpCall call) {
        mUses++;
        mCurrent.set(call);
    }

    /** Notes the identity of the call that is under way. */
    void carry(String identity) {
        mIdentities.add(identity);
    }

    /**
     * Tells whether a call with an identity was made on this connection. A late response to it
     * could not be told from the response to another call with that identity.
     */
    boolean hasCarried(String identity) {
        return mIdentities.contains(identity);
    }

    /**
     * Ends a call whose answer was read whole.
     *
     * @param call the call
     * @return false if it no longer had the connection, so that it cannot be used again
     */
    boolean end(HttpCall call) {
        mReceivedBytes = receivedBytes();
        return mCurrent.compareAndSet(call, null);
    }

    /** Closes the connection if a call still has it. */
    void giveUp(HttpCall call) {
        if (mCurrent.compareAndSet(call, null)) {
            closeLater();
        }
    }

    private long receivedBytes() {
        return mConnection.getStatistics().getRead();
    }

    /** Tells whether the connection may serve another call. */
    boolean isReusable() {
        return mUses < MAX_USES && mIdleLimitNanos > 0 && isOpen();
    }

    /** Returns how many calls the connection has been used for, that under way included. */
    int uses() {
        return mUses;
    }

    /** Names the connection and its use in a log line. */
    @Override
    public String toString() {
        return "connection " + mNumber + ", use " + mUses;
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

    /** Closes the connection on its I/O thread. Nobody is notified, as it is closed from here. */
    void closeLater() {
        mIsClosedHere = true;
        closeLater(mConnection);
    }

    /**
     * Closes a connection on its I/O thread, so that the peer sees it at once.
     *
     * <p>The library's own close waits up to 10 s for the answer that is under way, for which the
     * peer then works in vain: engines that were slow did so for up to 6 s. So the connection is
     * taken from the library, and its socket is closed.
     */
    static void closeLater(ClientConnection connection) {
        connection.getIoThread().execute(() -> closeSocket(connection));
    }

    private static void closeSocket(ClientConnection connection) {
        try {
            IoUtils.safeClose(connection.performUpgrade());
        } catch (IOException e) {
            LOG.debug("%s was closed before: %s", connection.getPeerAddress(), e.getMessage());
        }
    }

    /**
     * Fails the call that is under way, but only after the read that is under way: at the end of an
     * answer that ends its connection the library closes the connection from within that read.
     */
    private void onClosed() {
        HttpCall current = mCurrent.get();
        if (current == null && !mIsClosedHere && receivedBytes() > mReceivedBytes) {
            LOG.info("connection %d: bytes that no call has asked for; closed", mNumber);
            mOnSurplus.run();
        }
        if (current != null) {
            mConnection
                    .getIoThread()
                    .execute(() -> current.failAll(new IOException("connection closed")));
        }
    }
}
