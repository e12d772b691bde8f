/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.quota;

/**
 * Request of an instance to the owner of a bucket for units. Immutable.
 *
 * @param key key of the bucket
 * @param limit limit as the requesting instance knows it
 * @param version version of the table that states the limit
 * @param units number of units requested, at least 0
 */
public record QuotaRequest(String key, QuotaLimit limit, long version, long units) {
    /**
     * Creates a request.
     *
     * @throws IllegalArgumentException if the units are negative
     */
    public QuotaRequest {
        if (units < 0) {
            throw new IllegalArgumentException(
                    "invalid number of units: " + units + ", must be at least 0");
        }
    }
}
