/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.json;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** The one JSON mapper of the program, strict about unknown keys. Thread-safe. */
public final class Json {
    /** The shared mapper. */
    public static final JsonMapper MAPPER =
            JsonMapper.builder()
                    .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
                    .disable(SerializationFeature.WRITE_DATES_AS_TIMESTAMPS)
                    .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
                    .build();

    private Json() {}

    /**
     * Creates an empty object.
     *
     * @return the object
     */
    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /**
     * Parses UTF-8 text.
     *
     * @param utf8 the text
     * @return the tree; a missing node for empty text
     * @throws IOException if the text is not JSON
     */
    public static JsonNode parse(byte[] utf8) throws IOException {
        return MAPPER.readTree(utf8);
    }

    /**
     * Writes a value as compact UTF-8 text.
     *
     * @param value a tree or a record
     * @return the text
     */
    public static byte[] bytes(Object value) {
        return text(value).getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Writes a value as compact text.
     *
     * @param value a tree or a record
     * @return the text
     */
    public static String text(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("value cannot be written as JSON", e);
        }
    }
}
