/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import io.undertow.client.ClientResponse;
import io.undertow.util.Headers;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.orchidmount.errors.CallFailedException;

/**
 * Reads the body of an upstream's response whole, for which memory is taken before it is read.
 * While there is none, its upstream is slowed by its connection. Stateless.
 */
public final class ResponseReader {
    private ResponseReader() {}

    /**
     * Reads the body of a response.
     *
     * @param call the call, of which no part was read
     * @param response the head of the response
     * @param timeout the longest time for all of it, and for each wait for memory
     * @param mostBytes the largest body taken
     * @param lease the memory for it, of which nothing is held
     * @return the body
     * @throws CallFailedException if the connection breaks, the wait for a part is too long or the
     *     body is too large
     * @throws BodyTooLargeException if there would not be enough memory without other responses
     * @throws NoBodyMemoryException if other responses take the memory for too long
     * @throws InterruptedException if the thread is interrupted
     */
    public static byte[] read(
            HttpCall call,
            ClientResponse response,
            Duration timeout,
            int mostBytes,
            BodyMemory.Lease lease)
            throws CallFailedException,
                    BodyTooLargeException,
                    NoBodyMemoryException,
                    InterruptedException {
        String length = response.getResponseHeaders().getFirst(Headers.CONTENT_LENGTH);
        long lengthBytes = length == null ? -1 : Long.parseLong(length);
        if (lengthBytes > mostBytes) {
            throw call.tooLarge(mostBytes);
        }
        return lengthBytes < 0
                ? readToEnd(call, timeout, mostBytes, lease)
                : readLength(call, timeout, (int) lengthBytes, lease);
    }

    /** A response to a request for the head only has a length and no body. */
    private static byte[] readLength(
            HttpCall call, Duration timeout, int lengthBytes, BodyMemory.Lease lease)
            throws CallFailedException,
                    BodyTooLargeException,
                    NoBodyMemoryException,
                    InterruptedException {
        long endNanos = call.endNanos(timeout);
        lease.hold(lengthBytes, timeout);
        byte[] body = new byte[lengthBytes];
        int readBytes = 0;
        for (byte[] part = call.readUntil(endNanos);
                part != null;
                part = call.readUntil(endNanos)) {
            if (part.length > lengthBytes - readBytes) {
                throw call.tooLarge(lengthBytes);
            }
            System.arraycopy(part, 0, body, readBytes, part.length);
            readBytes += part.length;
        }
        return readBytes == lengthBytes ? body : Arrays.copyOf(body, readBytes);
    }

    private static byte[] readToEnd(
            HttpCall call, Duration timeout, int mostBytes, BodyMemory.Lease lease)
            throws CallFailedException,
                    BodyTooLargeException,
                    NoBodyMemoryException,
                    InterruptedException {
        long endNanos = call.endNanos(timeout);
        List<byte[]> parts = new ArrayList<>();
        int readBytes = 0;
        for (byte[] part = call.readUntil(endNanos);
                part != null;
                part = call.readUntil(endNanos)) {
            if (part.length > mostBytes - readBytes) {
                throw call.tooLarge(mostBytes);
            }
            readBytes += part.length;
            lease.hold(2L * readBytes, timeout);
            parts.add(part);
        }
        byte[] body = BodyReader.join(parts, readBytes);
        lease.hold(readBytes);
        return body;
    }
}
