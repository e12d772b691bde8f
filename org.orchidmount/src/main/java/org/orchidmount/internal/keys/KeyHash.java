/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.keys;

import java.nio.charset.StandardCharsets;
import java.util.HexFormat;

/**
 * Hashes keys, so that they can be compared without being kept. A lookup by hash takes the same
 * time for a wrong key as for a right one. Stateless and thread-safe.
 */
public final class KeyHash {
    private KeyHash() {}

    /**
     * Hashes a key.
     *
     * @param key the key
     * @return its SHA-256, 64 lower-case hexadecimal digits
     */
    public static String of(String key) {
        byte[] hash = Sha256.digest().digest(key.getBytes(StandardCharsets.UTF_8));
        return HexFormat.of().formatHex(hash);
    }
}
