/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.table;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * A set of edits that is applied as a whole or not at all. Immutable.
 *
 * @param id chosen by the author; a change that is sent again under the same id gets the first
 *     answer and is not applied again
 * @param author who makes the change
 * @param comment why, for the audit trail
 * @param edits the edits, each of another row
 */
public record Change(String id, String author, String comment, List<Edit> edits) {
    /** The most edits in one change. */
    public static final int MAX_EDITS = 1000;

    /** The most characters in a comment. */
    public static final int MAX_COMMENT_LENGTH = 1000;

    /** Checks the fields. */
    public Change {
        Fields.name("id", id);
        Fields.name("author", author);
        comment = comment == null ? "" : comment;
        if (comment.length() > MAX_COMMENT_LENGTH) {
            throw new IllegalArgumentException(
                    "comment has more than " + MAX_COMMENT_LENGTH + " characters; shorten it");
        }
        edits = List.copyOf(edits);
        if (edits.isEmpty() || edits.size() > MAX_EDITS) {
            throw new IllegalArgumentException(
                    "edits has " + edits.size() + " entries; give from 1 to " + MAX_EDITS);
        }
        Set<RowKey> keys = new HashSet<>();
        for (Edit edit : edits) {
            if (!keys.add(edit.key())) {
                throw new IllegalArgumentException(
                        "edits names " + edit.key() + " twice; merge the two edits");
            }
        }
    }
}
