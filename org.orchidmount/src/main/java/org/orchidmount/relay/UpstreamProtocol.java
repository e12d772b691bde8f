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
 * The protocol of the upstreams. Implementations only translate: they are stateless, make no
 * decisions and are thread-safe.
 */
public interface UpstreamProtocol {
    /**
     * Creates the head of a call.
     *
     * @param request the request
     * @param call the parameters of the call
     * @return the head
     */
    HttpHead head(RelayRequest request, UpstreamCall call);

    /**
     * Returns the name of the sender of a request: its client account, or the name that the caller
     * states.
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
     * @return the kind of the response
     */
    ResponseKind classify(RelayRequest request, ClientResponse response);

    /**
     * Returns whether a response names a request as its own, even if it is of no other use.
     *
     * @param request the request
     * @param response the head of the response
     * @return false if the response names another request or none
     */
    boolean isResponseTo(RelayRequest request, ClientResponse response);

    /**
     * Reads what a response to any call states about its upstream.
     *
     * @param response the head of the response
     * @return the statement; empty if another upstream responds in its place
     */
    Optional<UpstreamStatement> statement(ClientResponse response);

    /**
     * Returns the header fields of a response that are forwarded to the caller.
     *
     * @param response the head of the response
     * @return the header fields
     */
    HeaderMap responseHeaders(ClientResponse response);

    /**
     * Parses the response to a prefill.
     *
     * @param body the complete body of the response
     * @return the handle of the KV cache
     * @throws IOException if the response cannot be parsed
     */
    String parsePrefill(byte[] body) throws IOException;

    /**
     * Creates the body of the call that reserves memory and a place at an engine.
     *
     * @param tokens the memory to reserve, in tokens
     * @param ttl the time for which the engine keeps the memory if it is not used
     * @return the body
     */
    byte[] reservationBody(int tokens, Duration ttl);

    /**
     * Creates the head of the call that reserves memory and a place at an engine.
     *
     * @param upstreamId the id of the engine
     * @return the head
     */
    HttpHead reservationHead(String upstreamId);

    /**
     * Parses the response to a reservation.
     *
     * @param body the complete body of the response
     * @return the id of the reservation
     * @throws IOException if the response cannot be parsed
     */
    String parseReservation(byte[] body) throws IOException;

    /**
     * Creates the head of the call that releases a reservation.
     *
     * @param reservation the id of the reservation
     * @return the head
     */
    HttpHead releaseHead(String reservation);

    /**
     * Creates the head of the call that frees a KV cache.
     *
     * @param handle the handle of the KV cache
     * @return the head
     */
    HttpHead freeCacheHead(String handle);

    /**
     * Returns how long a connection may be idle and still be reused.
     *
     * @param response the head of a response
     * @return the maximum idle time; zero if the connection must not be reused
     */
    Duration idleTimeout(ClientResponse response);
}
