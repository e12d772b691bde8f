/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.Protocols;
import io.undertow.util.StatusCodes;

/** How a caller learns where the body of a response ends (RFC 9112, section 6.3). */
public enum ResponseFraming {
    /** No head has been sent, or the response has no body. */
    NONE,
    /** By the length that the head states. */
    LENGTH,
    /** By the last chunk. */
    CHUNKED,
    /** By the orderly end of the connection. */
    CLOSE;

    private static final int FIRST_FINAL_STATUS = 200;

    /**
     * Chooses the framing of a response whose status and header fields are set. Chunks are used
     * wherever the caller knows them, also if the connection is closed behind the response: an end
     * of the connection does not tell a whole response from one whose process has died.
     */
    static ResponseFraming of(HttpServerExchange exchange) {
        if (exchange.getResponseHeaders().contains(Headers.CONTENT_LENGTH)) {
            return LENGTH;
        }
        if (!hasBody(exchange)) {
            return NONE;
        }
        return exchange.getProtocol().equals(Protocols.HTTP_1_1) ? CHUNKED : CLOSE;
    }

    private static boolean hasBody(HttpServerExchange exchange) {
        int status = exchange.getStatusCode();
        return !exchange.getRequestMethod().equals(Methods.HEAD)
                && status >= FIRST_FINAL_STATUS
                && status != StatusCodes.NO_CONTENT
                && status != StatusCodes.NOT_MODIFIED;
    }
}
