/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.keys;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** Makes digests of SHA-256. Stateless and thread-safe. */
public final class Sha256 {
    private Sha256() {}

    /**
     * Makes a digest.
     *
     * @return an empty digest, for one thread
     */
    public static MessageDigest digest() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
