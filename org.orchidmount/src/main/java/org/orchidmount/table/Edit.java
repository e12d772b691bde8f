/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.table;

/** One edit of a change. Immutable. */
public sealed interface Edit {
    /** Stands for "whatever the version is" in {@link #expectedVersion()}. */
    long ANY_VERSION = -1;

    /**
     * Returns the row that is edited.
     *
     * @return its key
     */
    RowKey key();

    /**
     * Returns the version the row must have: 0 if it must not exist, {@link #ANY_VERSION} if it
     * does not matter.
     *
     * @return the version
     */
    long expectedVersion();

    /**
     * Writes a row.
     *
     * @param row the new content
     * @param expectedVersion see {@link Edit#expectedVersion()}
     */
    record Put(Row row, long expectedVersion) implements Edit {
        @Override
        public RowKey key() {
            return row.key();
        }
    }

    /**
     * Deletes a row.
     *
     * @param key the row
     * @param expectedVersion see {@link Edit#expectedVersion()}
     */
    record Delete(RowKey key, long expectedVersion) implements Edit {}
}
