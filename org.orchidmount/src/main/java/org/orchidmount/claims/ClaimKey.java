/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.claims;

/**
 * Names a not-repeatable request. Immutable.
 *
 * @param account the client account
 * @param route the route
 * @param key the caller's idempotency key
 */
public record ClaimKey(String account, String route, String key) {
    /** The most characters in a caller's key. */
    public static final int MAX_KEY_LENGTH = 200;
}
