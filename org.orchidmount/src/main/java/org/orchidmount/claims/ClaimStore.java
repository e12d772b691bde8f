/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.claims;

/**
 * Keeps the claims of not-repeatable requests.
 *
 * <p>Invariant: of all claims under one key, at most one is granted, unless a granted one was
 * released as not run before. Implementations are thread-safe and make a claim durable before they
 * grant it.
 */
public interface ClaimStore {
    /**
     * Claims a key.
     *
     * @param key the key
     * @param bodySha256 the hash of method, path and body, in hexadecimal digits
     * @return the answer
     */
    ClaimResult claim(ClaimKey key, String bodySha256);

    /**
     * Records the answer of a granted claim.
     *
     * @param key the key
     * @param answer the answer
     */
    void done(ClaimKey key, RecordedAnswer answer);

    /**
     * Gives a granted claim back, because no byte of the request was sent.
     *
     * @param key the key
     */
    void release(ClaimKey key);

    /**
     * Records that it is unknown whether the request ran.
     *
     * @param key the key
     * @param reason why
     */
    void unknown(ClaimKey key, String reason);
}
