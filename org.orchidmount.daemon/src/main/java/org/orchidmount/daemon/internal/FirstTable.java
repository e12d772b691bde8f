/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.daemon.internal;

import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.orchidmount.table.Change;
import org.orchidmount.table.ChangeResult;
import org.orchidmount.table.RowCodec;
import org.orchidmount.table.TableStore;

/** Fills an empty table from a file. Stateless and thread-safe. */
final class FirstTable {
    private static final JsonMapper MAPPER =
            JsonMapper.builder()
                    .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
                    .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
                    .build();
    private static final String AUTHOR = "first-table";

    private FirstTable() {}

    /** Reads and checks the file without applying it. */
    static Change read(Path file) throws IOException {
        JsonNode json = MAPPER.readTree(Files.readString(file));
        try {
            return RowCodec.change(json, AUTHOR);
        } catch (IllegalArgumentException e) {
            throw new IOException(file + ": " + e.getMessage(), e);
        }
    }

    /** Applies the file if the table is empty. */
    static void load(Path file, TableStore store) throws IOException {
        if (store.current().revision() > 0) {
            return;
        }
        ChangeResult result = store.apply(read(file));
        if (!(result instanceof ChangeResult.Accepted)) {
            throw new IOException(file + " is not accepted: " + result);
        }
    }
}
