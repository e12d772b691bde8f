/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.quota;

/**
 * What the owner granted and refused of one key since it last told so. Immutable.
 *
 * @param key what is limited
 * @param limit the limit that was applied
 * @param version the version of the table that states it
 * @param grantedUnits units granted, those given back included
 * @param granted questions granted
 * @param refused questions refused
 */
public record QuotaUse(
        String key, QuotaLimit limit, long version, long grantedUnits, int granted, int refused) {}
