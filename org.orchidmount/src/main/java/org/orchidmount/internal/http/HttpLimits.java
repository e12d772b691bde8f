/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import java.time.Duration;

/**
 * What a listener takes from a sender. Immutable.
 *
 * @param maxHeaderBytes the largest head of a request
 * @param maxConnections the most open connections; beyond them none is accepted
 * @param headerTimeout the longest time for the head of a request
 * @param idleTimeout how long a connection may stay open between requests
 */
public record HttpLimits(
        int maxHeaderBytes, int maxConnections, Duration headerTimeout, Duration idleTimeout) {
    /** The largest head without a setting. */
    private static final int DEFAULT_HEADER_BYTES = 16 * 1024;

    /** The most connections without a setting. */
    private static final int DEFAULT_CONNECTIONS = 10_000;

    /**
     * Returns limits that suit most listeners.
     *
     * @return 16 KiB of head, 10,000 connections, 10 s for a head, 60 s idle
     */
    public static HttpLimits defaults() {
        return new HttpLimits(
                DEFAULT_HEADER_BYTES,
                DEFAULT_CONNECTIONS,
                Duration.ofSeconds(10),
                Duration.ofSeconds(60));
    }
}
