/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.path;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.internal.log.PartLog;

/**
 * Copies bytes between a caller and an upstream, in both directions, until one of them ends.
 *
 * <p>Invariants: at most one buffer in each direction is held, so a side that does not read holds
 * up the other; both sockets are reset when they are closed, by whomever, unless the other side has
 * ended in order, since an end without a reset may be taken for the end of a response, and the
 * system closes the sockets of a process that is killed; a tunnel that carries nothing for {@link
 * #MAX_IDLE} ends, as its caller may have gone without a sign. Thread-safe.
 */
final class Tunnel implements AutoCloseable {
    private static final PartLog LOG = PartLog.of("tunnel");
    private static final int BUFFER_BYTES = 8 * 1024;

    /** Longer than a request may take. */
    static final Duration MAX_IDLE = Duration.ofMinutes(2);

    /** How long a caller may go on sending after the upstream has ended. */
    private static final Duration MAX_TRAILING = Duration.ofSeconds(10);

    private final Socket mCaller;
    private final Socket mUpstream;
    private final AtomicLong mBytes;
    private final MonotonicClock mClock;
    private final Duration mMaxIdle;
    private volatile long mCarriedNanos;

    /**
     * Takes two connections that have just been opened.
     *
     * @throws IOException if one of them has closed
     */
    Tunnel(Socket caller, Socket upstream, AtomicLong bytes, MonotonicClock clock, Duration maxIdle)
            throws IOException {
        mClock = clock;
        mMaxIdle = maxIdle;
        mCarriedNanos = clock.nanoTime();
        mCaller = caller;
        mUpstream = upstream;
        mBytes = bytes;
        caller.setSoLinger(true, 0);
        upstream.setSoLinger(true, 0);
    }

    /** Copies until both directions have ended. */
    void run() {
        Thread forth = Thread.ofVirtual().name("tunnel-forth").start(this::copyForth);
        try {
            if (copyBack()) {
                forth.join(MAX_TRAILING);
            }
            close();
            forth.join();
        } catch (InterruptedException e) {
            close();
            Thread.currentThread().interrupt();
        }
    }

    /** The caller's end is the end of its call, which the upstream learns at once. */
    private void copyForth() {
        try {
            copy(mCaller, mUpstream);
            endInOrder(mUpstream);
        } catch (IOException e) {
            LOG.debug("caller's side of a tunnel ended: %s", e.getMessage());
        }
        discard();
        close(mUpstream);
    }

    /** Returns whether the upstream ended in order, and the caller was told so. */
    private boolean copyBack() {
        try {
            copy(mUpstream, mCaller);
            endInOrder(mCaller);
            return true;
        } catch (IOException e) {
            LOG.debug("upstream's side of a tunnel ended: %s", e.getMessage());
            return false;
        }
    }

    /** The system still delivers what was written, even if the socket is closed next. */
    private static void endInOrder(Socket socket) throws IOException {
        socket.setSoLinger(false, 0);
        socket.shutdownOutput();
    }

    /**
     * Reads what the caller still sends to an upstream that takes no more. Closing the caller's
     * socket with unread bytes would make the system reset it, and what the caller has not read of
     * a response would be lost.
     */
    private void discard() {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream in = mCaller.getInputStream();
            int count = in.read(buffer);
            while (count >= 0) {
                count = in.read(buffer);
            }
        } catch (IOException e) {
            LOG.debug("caller of an upstream that has gone: %s", e.getMessage());
        }
    }

    private void copy(Socket from, Socket to) throws IOException {
        byte[] buffer = new byte[BUFFER_BYTES];
        from.setSoTimeout((int) mMaxIdle.toMillis());
        InputStream in = from.getInputStream();
        OutputStream out = to.getOutputStream();
        for (int count = read(in, buffer); count >= 0; count = read(in, buffer)) {
            out.write(buffer, 0, count);
            mBytes.addAndGet(count);
            mCarriedNanos = mClock.nanoTime();
        }
    }

    /** Returns whether nothing was carried for a time, in either direction. */
    boolean isQuietFor(Duration time) {
        return mClock.nanoTime() - mCarriedNanos >= time.toNanos();
    }

    /** Reads on while the other direction carries something. */
    private int read(InputStream in, byte[] buffer) throws IOException {
        while (true) {
            try {
                return in.read(buffer);
            } catch (SocketTimeoutException e) {
                if (mClock.nanoTime() - mCarriedNanos >= mMaxIdle.toNanos()) {
                    endInOrder(mUpstream);
                    throw e;
                }
            }
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            LOG.debug("cannot close a socket: %s", e.getMessage());
        }
    }

    @Override
    public void close() {
        close(mCaller);
        close(mUpstream);
    }
}
