/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.table;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.exc.InvalidFormatException;
import com.fasterxml.jackson.databind.exc.MismatchedInputException;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.databind.exc.ValueInstantiationException;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.orchidmount.internal.json.Json;

/**
 * Turns rows, edits and changes into JSON and back. Stateless and thread-safe.
 *
 * <p>A put is {@code {"kind": "pool", "version": 3, "row": {...}}}; a delete has {@code "delete":
 * "NAME"} in place of the row. Without {@code version} any version is taken.
 */
public final class RowCodec {
    private RowCodec() {}

    /**
     * Reads a row.
     *
     * @param kind the kind of row
     * @param json an object with the row's fields
     * @return the row
     * @throws IllegalArgumentException if a field is unknown, missing or out of range; the message
     *     names the field and the remedy
     */
    public static Row row(RowKind kind, JsonNode json) {
        try {
            Row row = Json.MAPPER.treeToValue(json, kind.rowType());
            if (row == null) {
                throw new IllegalArgumentException("a " + kind.label() + " row must be an object");
            }
            return row;
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(explain(kind, json, e), e);
        }
    }

    /**
     * Writes a row.
     *
     * @param row the row
     * @return an object with the row's fields
     */
    public static ObjectNode json(Row row) {
        return Json.MAPPER.valueToTree(row);
    }

    /**
     * Reads a change.
     *
     * @param json an object with {@code id}, {@code comment} and {@code edits}
     * @param author who makes the change
     * @return the change
     * @throws IllegalArgumentException if a part is missing or out of range
     */
    public static Change change(JsonNode json, String author) {
        JsonNode edits = json.path("edits");
        if (!edits.isArray()) {
            throw new IllegalArgumentException("edits is missing; give a list of edits");
        }
        List<Edit> parsed = new ArrayList<>();
        for (int i = 0; i < edits.size(); i++) {
            try {
                parsed.add(edit(edits.get(i)));
            } catch (IllegalArgumentException e) {
                throw new IllegalArgumentException("edits[" + i + "]: " + e.getMessage(), e);
            }
        }
        return new Change(
                json.path("id").asText(null), author, json.path("comment").asText(""), parsed);
    }

    /**
     * Writes a change.
     *
     * @param change the change
     * @return the object that {@link #change} reads
     */
    public static ObjectNode json(Change change) {
        ObjectNode json = Json.object();
        json.put("id", change.id());
        json.put("author", change.author());
        json.put("comment", change.comment());
        ArrayNode edits = json.putArray("edits");
        change.edits().forEach(edit -> edits.add(json(edit)));
        return json;
    }

    private static Edit edit(JsonNode json) {
        RowKind kind = RowKind.ofLabel(json.path("kind").asText(""));
        JsonNode versionField = json.path("version");
        if (!versionField.isMissingNode() && !versionField.isIntegralNumber()) {
            throw new IllegalArgumentException("version must be a whole number");
        }
        long version = versionField.asLong(Edit.ANY_VERSION);
        if (json.has("delete")) {
            return new Edit.Delete(new RowKey(kind, json.get("delete").asText()), version);
        }
        if (!json.has("row")) {
            throw new IllegalArgumentException("row is missing; give the row or \"delete\"");
        }
        return new Edit.Put(row(kind, json.get("row")), version);
    }

    private static ObjectNode json(Edit edit) {
        ObjectNode json = Json.object();
        json.put("kind", edit.key().kind().label());
        if (edit.expectedVersion() != Edit.ANY_VERSION) {
            json.put("version", edit.expectedVersion());
        }
        switch (edit) {
            case Edit.Put put -> json.set("row", json(put.row()));
            case Edit.Delete delete -> json.put("delete", delete.key().name());
        }
        return json;
    }

    private static String explain(RowKind kind, JsonNode json, JsonProcessingException e) {
        String name = kind.label() + " " + json.path("name").asText("(without name)");
        return name
                + ": "
                + switch (e) {
                    case UnrecognizedPropertyException unknown ->
                            "unknown field '"
                                    + unknown.getPropertyName()
                                    + "'; known are "
                                    + unknown.getKnownPropertyIds();
                    case InvalidFormatException format ->
                            field(format)
                                    + " has the wrong type or value '"
                                    + format.getValue()
                                    + "'; expected "
                                    + format.getTargetType().getSimpleName();
                    case ValueInstantiationException value -> value.getCause().getMessage();
                    case MismatchedInputException mismatch ->
                            field(mismatch)
                                    + " has the wrong type; expected "
                                    + mismatch.getTargetType().getSimpleName();
                    default -> e.getOriginalMessage();
                };
    }

    private static String field(JsonMappingException e) {
        return e.getPath().isEmpty() ? "the row" : e.getPath().getLast().getFieldName();
    }
}
