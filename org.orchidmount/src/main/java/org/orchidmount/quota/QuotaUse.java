/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.quota;

/**
 * What the owner granted and refused for one key since its previous report. Immutable.
 *
 * @param key key of the bucket
 * @param limit limit that was applied
 * @param version version of the table that states the limit
 * @param grantedUnits units granted, including those returned unused
 * @param granted number of requests granted
 * @param refused number of requests refused
 */
public record QuotaUse(
        String key, QuotaLimit limit, long version, long grantedUnits, int granted, int refused) {}
