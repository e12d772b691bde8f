/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.pgm.internal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MappingIterator;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.csv.CsvMapper;
import com.fasterxml.jackson.dataformat.csv.CsvSchema;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import org.orchidmount.internal.json.Json;
import org.orchidmount.table.Edit;
import org.orchidmount.table.RowCodec;
import org.orchidmount.table.RowKind;
import org.orchidmount.table.VersionedRow;

/**
 * Rows in CSV and JSON files. Stateless and thread-safe.
 *
 * <p>What is exported can be imported again: each row carries its version, so that a change made
 * meanwhile is a conflict and not lost. In CSV a list is joined by spaces.
 */
public final class RowFiles {
    private static final CsvMapper CSV = new CsvMapper();
    private static final Pattern NUMBER = Pattern.compile("-?\\d{1,18}");
    private static final String KIND = "kind";
    private static final String VERSION = "version";

    private RowFiles() {}

    /**
     * Writes rows as JSON.
     *
     * @param rows the rows
     * @return the text
     */
    public static String json(List<VersionedRow> rows) {
        ArrayNode list = Json.MAPPER.createArrayNode();
        for (VersionedRow row : rows) {
            ObjectNode item = list.addObject();
            item.put(KIND, row.row().rowKind().label()).put(VERSION, row.version());
            item.set("row", RowCodec.json(row.row()));
        }
        return list.toPrettyString() + "\n";
    }

    /**
     * Writes rows of one kind as CSV with a line of titles.
     *
     * @param rows the rows
     * @return the text
     */
    public static String csv(List<VersionedRow> rows) {
        if (rows.isEmpty()) {
            return "";
        }
        CsvSchema.Builder schema = CsvSchema.builder().addColumn(KIND).addColumn(VERSION);
        ObjectNode first = RowCodec.json(rows.getFirst().row());
        first.fieldNames().forEachRemaining(schema::addColumn);
        ArrayNode list = Json.MAPPER.createArrayNode();
        for (VersionedRow row : rows) {
            ObjectNode line = list.addObject();
            line.put(KIND, row.row().rowKind().label()).put(VERSION, row.version());
            RowCodec.json(row.row()).properties().forEach(e -> setCell(line, e));
        }
        try {
            return CSV.writer(schema.build().withHeader()).writeValueAsString(list);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("rows cannot be written as CSV", e);
        }
    }

    private static void setCell(ObjectNode line, Map.Entry<String, JsonNode> field) {
        if (field.getValue().isArray()) {
            List<String> items = field.getValue().valueStream().map(JsonNode::asText).toList();
            line.put(field.getKey(), String.join(" ", items));
        } else {
            line.set(field.getKey(), field.getValue());
        }
    }

    /**
     * Reads rows.
     *
     * @param file a file whose name ends in .csv or .json
     * @return a put for each row
     * @throws CliException if the file cannot be read; the message names the row and the field
     */
    public static List<Edit.Put> read(Path file) {
        try {
            if (file.toString().endsWith(".json")) {
                return readJson(file);
            }
            if (file.toString().endsWith(".csv")) {
                return readCsv(file);
            }
        } catch (IOException e) {
            throw new CliException(ExitCode.USAGE, "cannot read " + file + ": " + e.getMessage());
        }
        throw new CliException(ExitCode.USAGE, CliText.BAD_FILE_TYPE.formatted(file));
    }

    private static List<Edit.Put> readJson(Path file) throws IOException {
        List<Edit.Put> puts = new ArrayList<>();
        JsonNode list = Json.parse(Files.readAllBytes(file));
        for (int i = 0; i < list.size(); i++) {
            JsonNode item = list.get(i);
            puts.add(put(file, i + 1, item, item.path("row")));
        }
        return puts;
    }

    private static List<Edit.Put> readCsv(Path file) throws IOException {
        List<Edit.Put> puts = new ArrayList<>();
        CsvSchema schema = CsvSchema.emptySchema().withHeader();
        String content = Files.readString(file);
        if (!content.isEmpty() && !content.endsWith("\n")) {
            throw new CliException(ExitCode.USAGE, CliText.CUT_FILE.formatted(file));
        }
        try (MappingIterator<Map<String, String>> lines =
                CSV.readerForMapOf(String.class).with(schema).readValues(content)) {
            while (lines.hasNext()) {
                Map<String, String> cells = lines.next();
                ObjectNode head = Json.object();
                head.put(KIND, cells.remove(KIND));
                String version = cells.remove(VERSION);
                if (version != null && !version.isBlank()) {
                    head.set(VERSION, value(version));
                }
                ObjectNode row = Json.object();
                cells.forEach((name, text) -> setField(row, name, text));
                puts.add(put(file, puts.size() + 1, head, row));
            }
        }
        return puts;
    }

    private static void setField(ObjectNode row, String name, String text) {
        if (text.isEmpty()) {
            return;
        }
        if (name.equals("methods")) {
            ArrayNode list = row.putArray(name);
            for (String item : text.split(" ")) {
                list.add(item);
            }
            return;
        }
        row.set(name, value(text));
    }

    /**
     * Turns text into the JSON value it looks like.
     *
     * @param text the text
     * @return a number, true, false or a text
     */
    public static JsonNode value(String text) {
        if (NUMBER.matcher(text).matches()) {
            return Json.MAPPER.getNodeFactory().numberNode(Long.parseLong(text));
        }
        if (text.equals("true") || text.equals("false")) {
            return Json.MAPPER.getNodeFactory().booleanNode(Boolean.parseBoolean(text));
        }
        return Json.MAPPER.getNodeFactory().textNode(text);
    }

    private static Edit.Put put(Path file, int number, JsonNode head, JsonNode row) {
        try {
            RowKind kind = RowKind.ofLabel(head.path(KIND).asText(""));
            long version = head.path(VERSION).asLong(Edit.ANY_VERSION);
            return new Edit.Put(RowCodec.row(kind, row), version);
        } catch (IllegalArgumentException e) {
            throw new CliException(
                    ExitCode.USAGE,
                    CliText.BAD_ROW_IN_FILE.formatted(file, number, e.getMessage()));
        }
    }
}
