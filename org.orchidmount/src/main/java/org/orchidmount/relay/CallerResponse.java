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
import org.orchidmount.routing.FinalOutcome;

/** The caller's side of a request. Used by one thread. */
public interface CallerResponse {
    /**
     * Sends a whole response of an upstream.
     *
     * @param status its status
     * @param headers its fields
     * @param body its body
     * @throws IOException if the caller has gone
     * @throws TimeoutException if the caller reads too slowly
     * @throws InterruptedException if the thread is interrupted
     */
    void whole(int status, HeaderMap headers, byte[] body)
            throws IOException, TimeoutException, InterruptedException;

    /**
     * Begins a response that follows in parts.
     *
     * @param status its status
     * @param headers its fields
     */
    void begin(int status, HeaderMap headers);

    /**
     * Sends a part.
     *
     * @param part the part
     * @throws IOException if the caller has gone
     * @throws TimeoutException if the caller reads too slowly
     * @throws InterruptedException if the thread is interrupted
     */
    void part(byte[] part) throws IOException, TimeoutException, InterruptedException;

    /**
     * Ends a response in parts.
     *
     * @throws IOException if the caller has gone
     * @throws TimeoutException if the caller reads too slowly
     * @throws InterruptedException if the thread is interrupted
     */
    void end() throws IOException, TimeoutException, InterruptedException;

    /** Cuts off a response that has begun, so that the caller sees it is not whole. */
    void cut();

    /**
     * Refuses a request that no upstream has answered.
     *
     * @param outcome what is known of it
     * @param retryAfter when to come back; of use only if the request has not run
     * @throws IOException if the caller has gone
     * @throws TimeoutException if the caller reads too slowly
     * @throws InterruptedException if the thread is interrupted
     */
    void refuse(FinalOutcome outcome, Duration retryAfter)
            throws IOException, TimeoutException, InterruptedException;
}
