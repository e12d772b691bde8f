/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.stream;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * Identifies a stream by the id of the request that brought its first event. A digest keeps records
 * small, however long the ids of callers are. Immutable.
 *
 * @param digest the first eight bytes of the SHA-256 digest of the id
 */
public record StreamKey(long digest) {
    /**
     * Returns the key of a request id.
     *
     * @param requestId the id by which the caller knows the request
     * @return the key
     */
    public static StreamKey of(String requestId) {
        try {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            byte[] digest = sha.digest(requestId.getBytes(StandardCharsets.UTF_8));
            return new StreamKey(ByteBuffer.wrap(digest).getLong());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
