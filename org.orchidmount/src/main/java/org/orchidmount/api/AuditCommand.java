/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.api;

import com.fasterxml.jackson.databind.JsonNode;

/** Reads the audit trail, oldest first. Not thread-safe. */
public final class AuditCommand extends OperatorCommand<JsonNode> {
    private long mAfterRevision;
    private int mLimit = 1000;

    AuditCommand(Orchidmount instance) {
        super(instance);
    }

    /**
     * Begins after a revision.
     *
     * @param revision the revision
     * @return this command
     */
    public AuditCommand setAfterRevision(long revision) {
        mAfterRevision = revision;
        return this;
    }

    /**
     * Bounds the number of records.
     *
     * @param limit the most records, from 1 to 1000
     * @return this command
     */
    public AuditCommand setLimit(int limit) {
        mLimit = limit;
        return this;
    }

    @Override
    public CommandResult<JsonNode> call() {
        return get("/v1/audit?after=" + mAfterRevision + "&limit=" + mLimit);
    }
}
