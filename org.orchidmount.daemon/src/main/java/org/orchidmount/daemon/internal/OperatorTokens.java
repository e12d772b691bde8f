/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.daemon.internal;

import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;
import org.orchidmount.internal.keys.KeyHash;

/**
 * The operators that may use this instance, read from a file that holds only hashes of their
 * tokens. Immutable and thread-safe.
 */
final class OperatorTokens {
    private static final JsonMapper MAPPER =
            JsonMapper.builder()
                    .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
                    .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
                    .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .build();
    private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");

    private final Map<String, Operator> mByHash = new HashMap<>();

    private OperatorTokens(Path file, List<Entry> entries) throws IOException {
        for (Entry entry : entries) {
            boolean sound =
                    entry.name() != null
                            && entry.role() != null
                            && entry.tokenSha256() != null
                            && SHA256.matcher(entry.tokenSha256()).matches();
            if (!sound) {
                throw new IOException(
                        file
                                + ": each entry needs name, role (READ, EDIT or OPERATE) and"
                                + " tokenSha256 (64 lower-case hexadecimal digits)");
            }
            mByHash.put(entry.tokenSha256(), new Operator(entry.name(), entry.role()));
        }
    }

    /** Reads the file. */
    static OperatorTokens read(Path file) throws IOException {
        Entry[] entries = MAPPER.readValue(Files.readString(file), Entry[].class);
        return new OperatorTokens(file, List.of(entries));
    }

    /** Finds the operator a token belongs to. */
    Optional<Operator> byToken(String token) {
        return Optional.ofNullable(mByHash.get(KeyHash.of(token)));
    }

    /** What an operator may do; each role includes those before it. */
    enum Role {
        /** Look. */
        READ,
        /** Change the table. */
        EDIT,
        /** Stop the instance. */
        OPERATE
    }

    /** An operator. */
    record Operator(String name, Role role) {
        boolean may(Role needed) {
            return role.compareTo(needed) >= 0;
        }
    }

    private record Entry(String name, Role role, String tokenSha256) {}
}
