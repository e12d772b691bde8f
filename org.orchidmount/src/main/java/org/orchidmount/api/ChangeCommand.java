/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.api;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.orchidmount.internal.json.Json;
import org.orchidmount.table.Change;
import org.orchidmount.table.Edit;
import org.orchidmount.table.Row;
import org.orchidmount.table.RowCodec;
import org.orchidmount.table.RowKey;

/** Changes the table: all edits or none. Not thread-safe. */
public final class ChangeCommand extends OperatorCommand<JsonNode> {
    private static final String AUTHOR_SET_BY_SERVER = "operator";

    private final List<Edit> mEdits = new ArrayList<>();
    private String mId;
    private String mComment = "";

    ChangeCommand(Orchidmount instance) {
        super(instance);
    }

    /**
     * Names the change; sent again under the same id, it gets its first answer.
     *
     * @param id the id
     * @return this command
     */
    public ChangeCommand setId(String id) {
        mId = id;
        return this;
    }

    /**
     * Says why, for the audit trail.
     *
     * @param comment the comment
     * @return this command
     */
    public ChangeCommand setComment(String comment) {
        mComment = comment;
        return this;
    }

    /**
     * Writes a row.
     *
     * @param row the row
     * @param expectedVersion see {@link Edit#expectedVersion()}
     * @return this command
     */
    public ChangeCommand put(Row row, long expectedVersion) {
        mEdits.add(new Edit.Put(row, expectedVersion));
        return this;
    }

    /**
     * Deletes a row.
     *
     * @param key the row
     * @param expectedVersion see {@link Edit#expectedVersion()}
     * @return this command
     */
    public ChangeCommand delete(RowKey key, long expectedVersion) {
        mEdits.add(new Edit.Delete(key, expectedVersion));
        return this;
    }

    /**
     * Sends the change.
     *
     * @return the instance's answer
     * @throws IllegalArgumentException if the change is not sound by itself
     */
    @Override
    public CommandResult<JsonNode> call() {
        Change change = new Change(mId, AUTHOR_SET_BY_SERVER, mComment, mEdits);
        return post("/v1/changes", Json.bytes(RowCodec.json(change)));
    }
}
