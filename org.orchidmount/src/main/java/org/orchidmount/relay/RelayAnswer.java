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

/** The caller's side of a request. Used by one thread. */
public interface RelayAnswer {
    /**
     * Sends a whole answer of an upstream.
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
     * Begins an answer that follows in parts.
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
     * Ends an answer in parts.
     *
     * @throws IOException if the caller has gone
     * @throws TimeoutException if the caller reads too slowly
     * @throws InterruptedException if the thread is interrupted
     */
    void end() throws IOException, TimeoutException, InterruptedException;

    /** Cuts off an answer that has begun, so that the caller sees it is not whole. */
    void cut();

    /**
     * Tells the caller that there is no answer of an upstream.
     *
     * @param ending why
     * @param retryAfter when a new try may succeed; for those that have not run
     * @throws IOException if the caller has gone
     * @throws TimeoutException if the caller reads too slowly
     * @throws InterruptedException if the thread is interrupted
     */
    void refuse(Ending ending, Duration retryAfter)
            throws IOException, TimeoutException, InterruptedException;

    /** Why a request has no answer of an upstream. */
    enum Ending {
        /** It has not run and will not. */
        NOT_RUN,
        /** It may have run. */
        FAILED,
        /** Its time is over, and it may have run. */
        LATE
    }
}
