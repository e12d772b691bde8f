/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import io.undertow.util.HeaderMap;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.TimeoutException;
import org.orchidmount.internal.http.AbortCause;
import org.orchidmount.routing.FinalOutcome;

/** The response to the caller of a request. Confined to one thread. */
public interface CallerResponse {
    /**
     * Sends a complete response of an upstream.
     *
     * @param status the HTTP status
     * @param headers the header fields
     * @param body the complete body
     * @throws IOException if the caller has disconnected
     * @throws TimeoutException if the caller reads too slowly
     * @throws InterruptedException if the thread is interrupted
     */
    void sendComplete(int status, HeaderMap headers, byte[] body)
            throws IOException, TimeoutException, InterruptedException;

    /**
     * Begins a streamed response.
     *
     * @param status the HTTP status
     * @param headers the header fields
     */
    void beginStream(int status, HeaderMap headers);

    /**
     * Sends a part of a streamed response.
     *
     * @param part the bytes to send
     * @throws IOException if the caller has disconnected
     * @throws TimeoutException if the caller reads too slowly
     * @throws InterruptedException if the thread is interrupted
     */
    void sendPart(byte[] part) throws IOException, TimeoutException, InterruptedException;

    /**
     * Ends a streamed response.
     *
     * @throws IOException if the caller has disconnected
     * @throws TimeoutException if the caller reads too slowly
     * @throws InterruptedException if the thread is interrupted
     */
    void endStream() throws IOException, TimeoutException, InterruptedException;

    /**
     * Aborts a response that has begun, so that the caller can tell that it is incomplete.
     *
     * @param cause why it is not completed
     * @param detail what is known beside the cause, for the log
     */
    void abort(AbortCause cause, String detail);

    /**
     * Sends an error response to a request that no upstream has answered.
     *
     * @param outcome the outcome of the request
     * @param retryAfter the time after which the caller may retry; of use only if the request has
     *     not run
     * @throws IOException if the caller has disconnected
     * @throws TimeoutException if the caller reads too slowly
     * @throws InterruptedException if the thread is interrupted
     */
    void refuse(FinalOutcome outcome, Duration retryAfter)
            throws IOException, TimeoutException, InterruptedException;
}
