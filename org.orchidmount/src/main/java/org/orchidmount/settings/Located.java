/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.settings;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A JSON value that knows its place in the file. Immutable once parsed. */
sealed interface Located {
    /** The line, from 1. */
    int line();

    /** The column, from 1. */
    int column();

    /** An object; each key with its value. */
    record Obj(int line, int column, Map<String, Located> fields) implements Located {}

    /** A list. */
    record Arr(int line, int column, List<Located> items) implements Located {}

    /** A text, a number, true, false or null. */
    record Scalar(int line, int column, Object value) implements Located {}

    /**
     * Parses JSON with comments and trailing commas.
     *
     * @param text the text
     * @param duplicates called with each key that stands twice in one object
     * @throws JsonParseException if the text is not JSON; it knows the place
     */
    static Located parse(String text, DuplicateListener duplicates) throws IOException {
        JsonFactory factory =
                JsonFactory.builder()
                        .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
                        .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
                        .build();
        try (JsonParser parser = factory.createParser(text)) {
            if (parser.nextToken() == null) {
                throw new JsonParseException(parser, "the file is empty");
            }
            Located value = read(parser, duplicates);
            if (parser.nextToken() != null) {
                throw new JsonParseException(parser, "there is text after the closing brace");
            }
            return value;
        }
    }

    private static Located read(JsonParser parser, DuplicateListener duplicates)
            throws IOException {
        JsonLocation at = parser.currentTokenLocation();
        int line = at.getLineNr();
        int column = at.getColumnNr();
        return switch (parser.currentToken()) {
            case START_OBJECT -> new Obj(line, column, readFields(parser, duplicates));
            case START_ARRAY -> new Arr(line, column, readItems(parser, duplicates));
            case VALUE_STRING -> new Scalar(line, column, parser.getText());
            case VALUE_NUMBER_INT -> new Scalar(line, column, parser.getBigIntegerValue());
            case VALUE_NUMBER_FLOAT -> new Scalar(line, column, parser.getDoubleValue());
            case VALUE_TRUE -> new Scalar(line, column, true);
            case VALUE_FALSE -> new Scalar(line, column, false);
            case VALUE_NULL -> new Scalar(line, column, null);
            default -> throw new JsonParseException(parser, "unexpected " + parser.currentToken());
        };
    }

    private static Map<String, Located> readFields(JsonParser parser, DuplicateListener duplicates)
            throws IOException {
        Map<String, Located> fields = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            JsonLocation at = parser.currentTokenLocation();
            parser.nextToken();
            if (fields.put(name, read(parser, duplicates)) != null) {
                duplicates.onDuplicate(name, at.getLineNr(), at.getColumnNr());
            }
        }
        return fields;
    }

    private static List<Located> readItems(JsonParser parser, DuplicateListener duplicates)
            throws IOException {
        List<Located> items = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            items.add(read(parser, duplicates));
        }
        return items;
    }

    /** Called with keys that stand twice. */
    @FunctionalInterface
    interface DuplicateListener {
        /** Called for the second place of a key. */
        void onDuplicate(String name, int line, int column);
    }
}
