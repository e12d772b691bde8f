/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeoutException;

/**
 * Reads the body of a request whole, for which memory is taken before it is read. A body of a known
 * length is read into one array. Stateless.
 */
final class BodyReader {
    private BodyReader() {}

    /** Gives the parts of a body in their order. */
    @FunctionalInterface
    interface Parts {
        /** Waits for the next part; returns null at the end. */
        byte[] next() throws IOException, TimeoutException, InterruptedException;
    }

    /**
     * Reads a body.
     *
     * @param parts its parts
     * @param lengthBytes its length; -1 if it is not known
     * @param mostBytes the largest body taken
     * @param lease the account of the request
     */
    static byte[] read(Parts parts, long lengthBytes, long mostBytes, BodyMemory.Lease lease)
            throws IOException, TimeoutException, InterruptedException {
        if (lengthBytes > mostBytes) {
            throw new BodyTooLargeException(mostBytes);
        }
        return lengthBytes < 0
                ? readToEnd(parts, mostBytes, lease)
                : readLength(parts, (int) lengthBytes, lease);
    }

    private static byte[] readLength(Parts parts, int lengthBytes, BodyMemory.Lease lease)
            throws IOException, TimeoutException, InterruptedException {
        lease.hold(lengthBytes);
        byte[] body = new byte[lengthBytes];
        int readBytes = 0;
        for (byte[] part = parts.next(); part != null; part = parts.next()) {
            if (part.length > lengthBytes - readBytes) {
                throw new IOException("the body is longer than its stated length");
            }
            System.arraycopy(part, 0, body, readBytes, part.length);
            readBytes += part.length;
        }
        if (readBytes < lengthBytes) {
            throw new IOException("the body is shorter than its stated length");
        }
        return body;
    }

    /** Takes memory for the parts and for the array into which they are copied at the end. */
    private static byte[] readToEnd(Parts parts, long mostBytes, BodyMemory.Lease lease)
            throws IOException, TimeoutException, InterruptedException {
        List<byte[]> read = new ArrayList<>();
        int readBytes = 0;
        for (byte[] part = parts.next(); part != null; part = parts.next()) {
            if (part.length > mostBytes - readBytes) {
                throw new BodyTooLargeException(mostBytes);
            }
            readBytes += part.length;
            lease.hold(2L * readBytes);
            read.add(part);
        }
        byte[] body = join(read, readBytes);
        lease.hold(readBytes);
        return body;
    }

    /** Copies parts into one array. */
    static byte[] join(List<byte[]> parts, int sumBytes) {
        byte[] body = new byte[sumBytes];
        int copiedBytes = 0;
        for (byte[] part : parts) {
            System.arraycopy(part, 0, body, copiedBytes, part.length);
            copiedBytes += part.length;
        }
        return body;
    }
}
