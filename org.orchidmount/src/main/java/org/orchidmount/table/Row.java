/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.table;

/**
 * A row of the operators' table.
 *
 * <p>Rows are immutable. Their constructors check units and ranges and throw {@link
 * IllegalArgumentException} with the field and the remedy, so a row that exists is valid by itself.
 * {@link TableRules} checks what one row says of another. Of a limit, 0 means "none".
 */
public sealed interface Row permits PoolRow, ModelRow, ClassRow, AccountRow, UpstreamRow, RouteRow {
    /**
     * Returns the row's name, unique within its kind.
     *
     * @return the name
     */
    String name();

    /**
     * Returns the kind of this row.
     *
     * @return the kind
     */
    RowKind rowKind();

    /**
     * Returns the key of this row.
     *
     * @return kind and name
     */
    default RowKey key() {
        return new RowKey(rowKind(), name());
    }
}
