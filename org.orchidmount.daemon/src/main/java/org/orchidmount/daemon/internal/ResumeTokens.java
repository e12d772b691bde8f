/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.daemon.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Base64;
import java.util.Optional;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.orchidmount.internal.json.Json;

/**
 * Signs and checks the tokens by which a caller takes up a broken stream at any instance.
 *
 * <p>All instances share the key, so each accepts the tokens of the others. Immutable and
 * thread-safe.
 */
final class ResumeTokens {
    private static final String ALGORITHM = "HmacSHA256";

    private final SecretKeySpec mKey;
    private final Duration mValid;
    private final InstantSource mClock;

    ResumeTokens(byte[] key, Duration valid, InstantSource clock) {
        mKey = new SecretKeySpec(key, ALGORITHM);
        mValid = valid;
        mClock = clock;
    }

    /** Signs a token. */
    String sign(Resumable resumable) {
        ObjectNode json = Json.object();
        json.put("engine", resumable.engine());
        json.put("id", resumable.engineRequestId());
        json.put("account", resumable.account());
        json.put("request", resumable.requestId());
        json.put("base", resumable.baseOffset());
        json.put("until", mClock.instant().plus(mValid).toEpochMilli());
        byte[] body = Json.bytes(json);
        Base64.Encoder encoder = Base64.getUrlEncoder().withoutPadding();
        return encoder.encodeToString(body) + "." + encoder.encodeToString(mac(body));
    }

    /** Checks a token; empty if it is forged, garbled or has run out. */
    Optional<Resumable> check(String token) {
        String[] parts = token.split("\\.", -1);
        if (parts.length != 2) {
            return Optional.empty();
        }
        try {
            byte[] body = Base64.getUrlDecoder().decode(parts[0]);
            byte[] signature = Base64.getUrlDecoder().decode(parts[1]);
            if (!MessageDigest.isEqual(signature, mac(body))) {
                return Optional.empty();
            }
            JsonNode json = Json.parse(body);
            Instant until = Instant.ofEpochMilli(json.path("until").asLong());
            if (mClock.instant().isAfter(until)) {
                return Optional.empty();
            }
            return Optional.of(
                    new Resumable(
                            json.path("engine").asText(),
                            json.path("id").asText(),
                            json.path("account").asText(),
                            json.path("request").asText(),
                            json.path("base").asInt()));
        } catch (IllegalArgumentException | IOException e) {
            // Anyone can send a garbled token: the answer says so, and no log is filled by it.
            return Optional.empty();
        }
    }

    private byte[] mac(byte[] body) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(mKey);
            return mac.doFinal(body);
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("the platform lacks " + ALGORITHM, e);
        }
    }

    /** Returns the bytes of a text key. */
    static byte[] key(String text) {
        return text.strip().getBytes(StandardCharsets.UTF_8);
    }

    /**
     * A stream that can be taken up.
     *
     * @param engine the name of the decode engine
     * @param engineRequestId the id under which the engine knows the request
     * @param account the client account
     * @param requestId the id under which the caller knows the request
     * @param baseOffset the offset in the caller's answer of the engine's first token
     */
    record Resumable(
            String engine,
            String engineRequestId,
            String account,
            String requestId,
            int baseOffset) {}
}
