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
import java.util.concurrent.atomic.AtomicLong;
import org.orchidmount.internal.log.PartLog;

/**
 * Copies bytes between a caller and an upstream, in both directions, until one of them ends.
 *
 * <p>Invariants: at most one buffer in each direction is held, so a side that does not read holds
 * up the other; a reset of the upstream reaches the caller as a reset, since an end without one may
 * be taken for the end of a response. Thread-safe.
 */
final class Tunnel implements AutoCloseable {
    private static final PartLog LOG = PartLog.of("tunnel");
    private static final int BUFFER_BYTES = 8 * 1024;

    private final Socket mCaller;
    private final Socket mUpstream;
    private final AtomicLong mBytes;

    Tunnel(Socket caller, Socket upstream, AtomicLong bytes) {
        mCaller = caller;
        mUpstream = upstream;
        mBytes = bytes;
    }

    /** Copies until both directions have ended. */
    void run() {
        Thread forth = Thread.ofVirtual().name("tunnel-forth").start(this::copyForth);
        copyBack();
        try {
            forth.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** The caller's end is the end of its call, which the upstream learns at once. */
    private void copyForth() {
        try {
            copy(mCaller, mUpstream);
        } catch (IOException e) {
            LOG.debug("caller's side of a tunnel ended: %s", e.getMessage());
        } finally {
            close(mUpstream);
        }
    }

    private void copyBack() {
        try {
            copy(mUpstream, mCaller);
        } catch (IOException e) {
            LOG.debug("upstream's side of a tunnel ended: %s", e.getMessage());
            resetOnClose();
        } finally {
            close(mCaller);
        }
    }

    private void resetOnClose() {
        try {
            mCaller.setSoLinger(true, 0);
        } catch (IOException e) {
            LOG.debug("the caller has gone: %s", e.getMessage());
        }
    }

    private void copy(Socket from, Socket to) throws IOException {
        byte[] buffer = new byte[BUFFER_BYTES];
        InputStream in = from.getInputStream();
        OutputStream out = to.getOutputStream();
        for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
            out.write(buffer, 0, count);
            mBytes.addAndGet(count);
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
