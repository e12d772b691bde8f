/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import java.io.IOException;

/**
 * Limits the bytes that are read from a connection and are no part of a body: heads, and what
 * frames a body in chunks.
 *
 * <p>Invariant: what has been received exceeds what it has brought by no more than the limit, so a
 * peer that sends without end is noticed whatever the HTTP library takes its bytes for. Confined to
 * the I/O thread of the connection.
 */
final class ReceiveLimit {
    /** Bytes received that brought nothing; more than a head and a read buffer. */
    private static final int MAX_BYTES = 128 * 1024;

    /** Bytes that may frame one byte of a body; the smallest chunk has five. */
    private static final int MAX_BYTES_PER_BODY_BYTE = 16;

    private long mBytes;

    /** Counts bytes that have come from the socket. */
    void received(long bytes) throws ExceededException {
        mBytes += Math.max(0, bytes);
        if (mBytes > MAX_BYTES) {
            throw new ExceededException();
        }
    }

    /** Counts bytes of a body that have been handed to its reader. */
    void delivered(long bytes) {
        mBytes = Math.max(0, mBytes - bytes * (1 + MAX_BYTES_PER_BODY_BYTE));
    }

    /** Begins a message. */
    void restart() {
        mBytes = 0;
    }

    /** The peer sends more than the limit. */
    static final class ExceededException extends IOException {
        ExceededException() {
            super("more than " + MAX_BYTES + " bytes that are no part of a body");
        }
    }
}
