/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.quarantine;

import static java.nio.charset.StandardCharsets.US_ASCII;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.HexFormat;
import org.orchidmount.internal.keys.Sha256;

/**
 * Fingerprint of what may crash upstreams: of a request, or of a part that prompts share. That of a
 * request is by its content and its caller, the same for each retry whatever its request id. Two
 * different requests share a fingerprint with a probability of 2^-128, even if somebody tries to
 * construct them. Immutable.
 *
 * @param hex 32 lower-case hexadecimal digits
 */
public record RequestFingerprint(String hex) {
    /** What the fingerprints of parts begin with. */
    private static final String PART_PREFIX = HexFormat.of().formatHex("part".getBytes(US_ASCII));

    /** Half of a SHA-256 hash: it is infeasible to find two inputs that share it. */
    private static final int BYTES = 16;

    /**
     * Creates a fingerprint.
     *
     * @throws IllegalArgumentException if the text is not 32 lower-case hexadecimal digits
     */
    public RequestFingerprint {
        boolean isHex = hex.chars().allMatch(digit -> "0123456789abcdef".indexOf(digit) >= 0);
        if (hex.length() != 2 * BYTES || !isHex) {
            throw new IllegalArgumentException(
                    "invalid fingerprint: expected %d hexadecimal digits in lower case"
                            .formatted(2 * BYTES));
        }
    }

    /**
     * Computes the fingerprint of a request.
     *
     * @param caller client account, or the identity that the caller states; empty if neither is
     *     known
     * @param method HTTP method
     * @param host host of the route
     * @param pathAndQuery path and query as they were sent
     * @param body complete body
     * @return the fingerprint
     */
    public static RequestFingerprint of(
            String caller, String method, String host, String pathAndQuery, byte[] body) {
        MessageDigest digest = Sha256.digest();
        update(digest, caller.getBytes(StandardCharsets.UTF_8));
        update(digest, method.getBytes(StandardCharsets.UTF_8));
        update(digest, host.getBytes(StandardCharsets.UTF_8));
        update(digest, pathAndQuery.getBytes(StandardCharsets.UTF_8));
        update(digest, body);
        byte[] half = Arrays.copyOf(digest.digest(), BYTES);
        return new RequestFingerprint(HexFormat.of().formatHex(half));
    }

    /**
     * Computes the fingerprint of a part that prompts share.
     *
     * @param service service that runs the prompts
     * @param part id of the part
     * @return the fingerprint
     */
    public static RequestFingerprint ofPart(String service, String part) {
        MessageDigest digest = Sha256.digest();
        update(digest, service.getBytes(StandardCharsets.UTF_8));
        update(digest, part.getBytes(StandardCharsets.UTF_8));
        String hex = HexFormat.of().formatHex(digest.digest());
        return new RequestFingerprint(
                PART_PREFIX + hex.substring(0, 2 * BYTES - PART_PREFIX.length()));
    }

    /**
     * Returns whether this is the fingerprint of a part of prompts.
     *
     * @return false if it is that of a request
     */
    public boolean isPart() {
        return hex.startsWith(PART_PREFIX);
    }

    /** Hashes the length first, so that no two sequences of parts give the same input. */
    private static void update(MessageDigest digest, byte[] part) {
        digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(0, part.length));
        digest.update(part);
    }

    @Override
    public String toString() {
        return hex;
    }
}
