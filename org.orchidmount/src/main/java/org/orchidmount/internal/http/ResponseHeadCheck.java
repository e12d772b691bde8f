/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import io.undertow.client.ClientResponse;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Finds response heads of upstreams that do not tell for certain where the response ends (RFC 9112,
 * section 6.3). The library reads what follows to the end of the connection, or takes an interim
 * response for the final one. Stateless.
 */
final class ResponseHeadCheck {
    private static final int FIRST_FINAL_STATUS = 200;
    private static final List<String> CHUNKED = List.of("chunked");

    /** As many digits as a long holds whatever they are. */
    private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}");

    private ResponseHeadCheck() {}

    /** Returns what is wrong with a head; empty if the end of its response can be told. */
    static Optional<String> fault(ClientResponse response) {
        if (response.getResponseCode() < FIRST_FINAL_STATUS) {
            return Optional.of("interim status " + response.getResponseCode());
        }
        HeaderMap headers = response.getResponseHeaders();
        List<String> codings = distinct(headers.get(Headers.TRANSFER_ENCODING));
        if (headers.contains(Headers.TRANSFER_ENCODING) && !codings.equals(CHUNKED)) {
            return Optional.of("transfer codings " + codings);
        }
        List<String> lengths = distinct(headers.get(Headers.CONTENT_LENGTH));
        boolean isNumber = lengths.stream().allMatch(text -> LENGTH.matcher(text).matches());
        return lengths.size() > 1 || !isNumber
                ? Optional.of("content lengths " + lengths)
                : Optional.empty();
    }

    private static List<String> distinct(HeaderValues values) {
        return values == null
                ? List.of()
                : values.stream()
                        .map(text -> text.strip().toLowerCase(Locale.ROOT))
                        .distinct()
                        .toList();
    }
}
