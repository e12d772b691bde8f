/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.retry;

/**
 * Request of an entry to the owner for retries, and report of requests. Immutable.
 *
 * @param service name of the service
 * @param limit limit as the entry knows it
 * @param requests requests for the service since the previous report, at least 0
 * @param retries number of retries requested, at least 0
 */
public record RetryRequest(String service, RetryLimit limit, int requests, int retries) {
    /**
     * Creates a request.
     *
     * @throws IllegalArgumentException if a number is negative
     */
    public RetryRequest {
        if (requests < 0 || retries < 0) {
            throw new IllegalArgumentException(
                    "negative number: %d requests, %d retries".formatted(requests, retries));
        }
    }
}
