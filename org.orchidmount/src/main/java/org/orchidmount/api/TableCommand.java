/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.api;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.orchidmount.table.RowCodec;
import org.orchidmount.table.RowKind;
import org.orchidmount.table.VersionedRow;

/** Reads the rows of the table. Not thread-safe. */
public final class TableCommand extends OperatorCommand<List<VersionedRow>> {
    private RowKind mKind;

    TableCommand(Orchidmount instance) {
        super(instance);
    }

    /**
     * Reads rows of one kind only.
     *
     * @param kind the kind
     * @return this command
     */
    public TableCommand setKind(RowKind kind) {
        mKind = kind;
        return this;
    }

    @Override
    public CommandResult<List<VersionedRow>> call() {
        String path = "/v1/table" + (mKind == null ? "" : "?kind=" + mKind.label());
        return switch (get(path)) {
            case CommandResult.Done<JsonNode>(JsonNode json) ->
                    new CommandResult.Done<>(rows(json));
            case CommandResult.Refused<JsonNode> refused ->
                    new CommandResult.Refused<>(
                            refused.status(), refused.code(), refused.message());
            case CommandResult.Failed<JsonNode>(var failure) -> new CommandResult.Failed<>(failure);
        };
    }

    private static List<VersionedRow> rows(JsonNode json) {
        List<VersionedRow> rows = new ArrayList<>();
        for (JsonNode item : json.path("rows")) {
            RowKind kind = RowKind.ofLabel(item.path("kind").asText());
            rows.add(
                    new VersionedRow(
                            RowCodec.row(kind, item.path("row")),
                            item.path("version").asLong(),
                            item.path("changeId").asText(),
                            item.path("author").asText()));
        }
        return rows;
    }
}
