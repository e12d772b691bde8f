/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.util.Locale;

/** How the end of a request's body is told, by RFC 9112, section 6.3. Stateless. */
final class RequestFraming {
    private static final String CHUNKED = "chunked";

    private RequestFraming() {}

    /**
     * Tells whether nothing but the end of the connection ends the body, as in a response. Then a
     * body that is cut looks whole, so that such requests must be refused.
     */
    static boolean endsByConnection(HeaderMap headers) {
        String coding = headers.getLast(Headers.TRANSFER_ENCODING);
        return coding != null && !coding.strip().toLowerCase(Locale.ROOT).endsWith(CHUNKED);
    }
}
