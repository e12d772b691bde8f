/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import io.undertow.client.ClientResponse;
import io.undertow.util.HeaderMap;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import org.orchidmount.internal.http.HttpHead;
import org.orchidmount.pacing.UpstreamStatement;

/**
 * What upstreams speak. Implementations translate only: they hold no state, decide nothing and are
 * thread-safe.
 */
public interface UpstreamProtocol {
    /**
     * Makes the head of a call.
     *
     * @param request the request
     * @param call how the upstream is called
     * @return the head
     */
    HttpHead head(RelayRequest request, UpstreamCall call);

    /**
     * Names who sends a request: its client account, or who the caller says it is.
     *
     * @param request the request
     * @return the name; empty if neither is known
     */
    String caller(RelayRequest request);

    /**
     * Classifies the head of a response.
     *
     * @param request the request
     * @param response the head of the response
     * @return what it means
     */
    ResponseKind classify(RelayRequest request, ClientResponse response);

    /**
     * Tells whether a response names a request as its own, whatever else it is worth.
     *
     * @param request the request
     * @param response the head of the response
     * @return false if it is that of another request, or names none
     */
    boolean isResponseTo(RelayRequest request, ClientResponse response);

    /**
     * Reads what a response to any call states of its upstream.
     *
     * @param response the head of the response
     * @return the statement; nothing if another upstream responds in its place
     */
    Optional<UpstreamStatement> statement(ClientResponse response);

    /**
     * Returns the fields of a response that are passed on to the caller.
     *
     * @param response the head of the response
     * @return the fields
     */
    HeaderMap responseHeaders(ClientResponse response);

    /**
     * Reads the answer to a prefill.
     *
     * @param body the whole answer
     * @return the handle
     * @throws IOException if the answer cannot be read
     */
    String handle(byte[] body) throws IOException;

    /**
     * Makes the body of the call that reserves memory and a place at an engine.
     *
     * @param tokens the memory
     * @param life how long it is kept if it is not used
     * @return the body
     */
    byte[] reservation(int tokens, Duration life);

    /**
     * Makes the head of the call that reserves memory and a place at an engine.
     *
     * @param upstreamId the engine
     * @return the head
     */
    HttpHead reserve(String upstreamId);

    /**
     * Reads the answer to a reservation.
     *
     * @param body the whole answer
     * @return the reservation's name
     * @throws IOException if the answer cannot be read
     */
    String reserved(byte[] body) throws IOException;

    /**
     * Makes the head of the call that releases a reservation.
     *
     * @param reservation its name
     * @return the head
     */
    HttpHead unreserve(String reservation);

    /**
     * Makes the head of the call that frees a handle.
     *
     * @param handle the handle
     * @return the head
     */
    HttpHead freeHandle(String handle);

    /**
     * Returns how long a connection may be idle and still be used again.
     *
     * @param response the head of a response
     * @return the longest idle time; zero if the connection is not to be used again
     */
    Duration idleTimeout(ClientResponse response);
}
