/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;

/**
 * The head of a request to an upstream.
 *
 * @param method the HTTP method
 * @param path path and query
 * @param headers the header fields; the body's length among them, if there is a body
 */
public record HttpHead(HttpString method, String path, HeaderMap headers) {
    /**
     * Creates a head without header fields.
     *
     * @param method the HTTP method
     * @param path path and query
     * @return the head
     */
    public static HttpHead of(HttpString method, String path) {
        return new HttpHead(method, path, new HeaderMap());
    }

    /**
     * Adds a header field to this head.
     *
     * @param name the field's name
     * @param value its value
     * @return this head
     */
    public HttpHead with(HttpString name, String value) {
        headers.put(name, value);
        return this;
    }
}
