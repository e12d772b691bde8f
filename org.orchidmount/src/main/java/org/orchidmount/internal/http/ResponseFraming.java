/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
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

    /** As many as a long holds whatever they are. */
    private static final int MAX_LENGTH_DIGITS = 18;

    /**
     * Chooses the framing of a response whose status and header fields are set. Chunks are used
     * wherever the caller knows them, also if the connection is closed behind the response: an end
     * of the connection does not tell a whole response from one whose process has died. A length
     * counts only if the library and each caller read it alike; the caller of this method removes
     * any other.
     */
    static ResponseFraming of(HttpServerExchange exchange) {
        if (hasLength(exchange.getResponseHeaders())) {
            return LENGTH;
        }
        if (!hasBody(exchange)) {
            return NONE;
        }
        return exchange.getProtocol().equals(Protocols.HTTP_1_1) ? CHUNKED : CLOSE;
    }

    private static boolean hasLength(HeaderMap headers) {
        HeaderValues lengths = headers.get(Headers.CONTENT_LENGTH);
        return lengths != null
                && lengths.size() == 1
                && lengths.getFirst().length() <= MAX_LENGTH_DIGITS
                && !lengths.getFirst().isEmpty()
                && lengths.getFirst().chars().allMatch(c -> c >= '0' && c <= '9');
    }

    private static boolean hasBody(HttpServerExchange exchange) {
        int status = exchange.getStatusCode();
        return !exchange.getRequestMethod().equals(Methods.HEAD)
                && status >= FIRST_FINAL_STATUS
                && status != StatusCodes.NO_CONTENT
                && status != StatusCodes.NOT_MODIFIED;
    }
}
