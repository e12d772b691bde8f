/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.table;

/**
 * Names one row. Immutable.
 *
 * @param kind the kind of row
 * @param name the row's name, unique within its kind
 */
public record RowKey(RowKind kind, String name) {
    @Override
    public String toString() {
        return kind.label() + " " + name;
    }
}
