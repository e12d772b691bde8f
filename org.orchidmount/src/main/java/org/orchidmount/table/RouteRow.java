/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.table;

import java.util.List;
import java.util.regex.Pattern;

/**
 * A path that is forwarded to a pool of plain services. Immutable.
 *
 * @param name the route's name
 * @param pathPrefix the start of the paths it covers, beginning with a slash; the longest wins
 * @param methods the HTTP methods it covers, in capitals; empty for all
 * @param pool the pool of plain services
 * @param repeatable true if running a call twice does no harm; false for calls that must run at
 *     most once, which need the header "Idempotency-Key"
 * @param timeoutMillis how long an answer may take
 * @param maxBodyBytes the largest request body
 */
public record RouteRow(
        String name,
        String pathPrefix,
        List<String> methods,
        String pool,
        boolean repeatable,
        long timeoutMillis,
        long maxBodyBytes)
        implements Row {
    private static final Pattern METHOD = Pattern.compile("[A-Z]{3,10}");

    /** Checks the fields. */
    public RouteRow {
        Fields.name("name", name);
        if (pathPrefix == null
                || !pathPrefix.startsWith("/")
                || pathPrefix.length() > RowLimits.MAX_PATH_LENGTH) {
            throw new IllegalArgumentException(
                    "pathPrefix must begin with a slash and have at most "
                            + RowLimits.MAX_PATH_LENGTH
                            + " characters");
        }
        methods = methods == null ? List.of() : List.copyOf(methods);
        for (String method : methods) {
            if (!METHOD.matcher(method).matches()) {
                throw new IllegalArgumentException(
                        "methods holds '" + method + "'; give HTTP methods in capitals");
            }
        }
        Fields.name("pool", pool);
        Fields.range("timeoutMillis", timeoutMillis, 1, RowLimits.MAX_MILLIS);
        Fields.range("maxBodyBytes", maxBodyBytes, 0, RowLimits.MAX_BODY_BYTES);
    }

    /**
     * Tells whether this route covers a request.
     *
     * @param method the HTTP method
     * @param path the path without query
     * @return true if covered
     */
    public boolean covers(String method, String path) {
        if (!methods.isEmpty() && !methods.contains(method)) {
            return false;
        }
        if (!path.startsWith(pathPrefix)) {
            return false;
        }
        return pathPrefix.endsWith("/")
                || path.length() == pathPrefix.length()
                || path.charAt(pathPrefix.length()) == '/';
    }

    @Override
    public RowKind rowKind() {
        return RowKind.ROUTE;
    }
}
