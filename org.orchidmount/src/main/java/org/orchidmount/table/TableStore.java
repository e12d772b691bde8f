/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.table;

import java.util.List;
import java.util.function.Consumer;

/**
 * Holds the current table, makes changes durable and keeps the audit trail.
 *
 * <p>Implementations are thread-safe. A change that was answered as accepted is never lost and
 * never reverted.
 */
public interface TableStore {
    /**
     * Returns the table in force.
     *
     * @return the current revision
     */
    Table current();

    /**
     * Applies a change and makes it durable before it answers.
     *
     * @param change the change
     * @return the answer; the first answer again if the id was seen before
     */
    ChangeResult apply(Change change);

    /**
     * Registers a listener that is called with each new revision, in order.
     *
     * @param listener the listener; it must not block
     */
    void addListener(Consumer<Table> listener);

    /**
     * Reads the audit trail.
     *
     * @param afterRevision the revision after which to begin
     * @param most the most records returned
     * @return the records, oldest first
     */
    List<AuditRecord> audit(long afterRevision, int most);
}
