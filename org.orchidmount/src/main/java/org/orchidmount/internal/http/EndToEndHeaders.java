/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.util.Set;

/** The header fields that a proxy passes on, as RFC 9110, section 7.6.1 has them. Stateless. */
public final class EndToEndHeaders {
    /** The fields that belong to one connection. */
    private static final Set<HttpString> HOP_BY_HOP =
            Set.of(
                    Headers.CONNECTION,
                    Headers.KEEP_ALIVE,
                    Headers.PROXY_AUTHENTICATE,
                    Headers.PROXY_AUTHORIZATION,
                    Headers.TE,
                    Headers.TRAILER,
                    Headers.TRANSFER_ENCODING,
                    Headers.UPGRADE,
                    Headers.EXPECT);

    private EndToEndHeaders() {}

    /**
     * Copies the fields that are passed on.
     *
     * @param received the fields received
     * @param alsoDropped further fields that are not passed on
     * @return a new map
     */
    public static HeaderMap of(HeaderMap received, Set<HttpString> alsoDropped) {
        HeaderMap passed = new HeaderMap();
        received.forEach(
                values -> {
                    HttpString name = values.getHeaderName();
                    if (!HOP_BY_HOP.contains(name) && !alsoDropped.contains(name)) {
                        passed.putAll(name, values);
                    }
                });
        return passed;
    }
}
