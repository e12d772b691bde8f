/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.table;

import java.util.regex.Pattern;

/**
 * A client account: its key, weight and limits. Immutable.
 *
 * @param name the account's name
 * @param keySha256 the SHA-256 of the account's key, 64 hexadecimal digits; the key is never kept
 * @param requestClass the class of its requests that name none
 * @param weight the share of this account against others of the same class, from 1 to 1000
 * @param maxRunning the most requests running, 0 for no limit
 * @param requestsPerSecond the rate of new requests, 0 for no limit
 */
public record AccountRow(
        String name,
        String keySha256,
        String requestClass,
        int weight,
        int maxRunning,
        int requestsPerSecond)
        implements Row {
    private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");

    /** Checks the fields. */
    public AccountRow {
        Fields.name("name", name);
        if (keySha256 == null || !SHA256.matcher(keySha256).matches()) {
            throw new IllegalArgumentException(
                    "keySha256 must be 64 lower-case hexadecimal digits; give the SHA-256 of the"
                            + " account's key");
        }
        Fields.name("requestClass", requestClass);
        Fields.range("weight", weight, 1, RowLimits.MAX_WEIGHT);
        Fields.range("maxRunning", maxRunning, 0, RowLimits.MAX_REQUESTS);
        Fields.range("requestsPerSecond", requestsPerSecond, 0, RowLimits.MAX_REQUESTS);
    }

    @Override
    public RowKind rowKind() {
        return RowKind.ACCOUNT;
    }
}
