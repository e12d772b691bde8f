/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.table;

import java.util.List;

/** The answer to a change. Immutable. */
public sealed interface ChangeResult {
    /**
     * Returns the change answered.
     *
     * @return its id
     */
    String changeId();

    /**
     * The change is durable and in force on this instance.
     *
     * @param changeId the change
     * @param revision the table's revision after it
     */
    record Accepted(String changeId, long revision) implements ChangeResult {}

    /**
     * Another change came first, so nothing was applied.
     *
     * @param changeId the change
     * @param row the first row whose version differs
     * @param expectedVersion the version named by the edit
     * @param actualVersion the version in the table
     * @param winnerChangeId the change that wrote that version, empty if the row never existed
     * @param winnerAuthor who made that change, empty if the row never existed
     */
    record Conflict(
            String changeId,
            RowKey row,
            long expectedVersion,
            long actualVersion,
            String winnerChangeId,
            String winnerAuthor)
            implements ChangeResult {}

    /**
     * The table would break a rule, so nothing was applied.
     *
     * @param changeId the change
     * @param problems each names a row, what is wrong and the remedy
     */
    record Invalid(String changeId, List<String> problems) implements ChangeResult {}

    /**
     * The change could not be made durable, so nothing was applied; it may be sent again.
     *
     * @param changeId the change
     * @param reason what failed
     */
    record Unavailable(String changeId, String reason) implements ChangeResult {}
}
