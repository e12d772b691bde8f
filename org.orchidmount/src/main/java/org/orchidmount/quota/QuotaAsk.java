/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.quota;

/**
 * A question of an instance to the owner of a key's bucket. Immutable.
 *
 * @param key what is limited
 * @param limit the limit as the asking instance knows it
 * @param version the version of the table that states the limit
 * @param units how much is to be used, at least 0
 */
public record QuotaAsk(String key, QuotaLimit limit, long version, long units) {
    /** Checks the units. */
    public QuotaAsk {
        if (units < 0) {
            throw new IllegalArgumentException("units is " + units + ", below 0");
        }
    }
}
