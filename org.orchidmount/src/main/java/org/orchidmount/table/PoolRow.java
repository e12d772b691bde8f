/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.table;

/**
 * A pool of upstreams that do the same work. Immutable.
 *
 * @param name the pool's name
 * @param role what its upstreams do
 * @param maxRunning the most requests running in the whole pool, 0 for no limit
 */
public record PoolRow(String name, PoolRole role, int maxRunning) implements Row {
    /** Checks the fields. */
    public PoolRow {
        Fields.name("name", name);
        Fields.present("role", role, "give prefill, decode or plain");
        Fields.range("maxRunning", maxRunning, 0, RowLimits.MAX_REQUESTS);
    }

    @Override
    public RowKind rowKind() {
        return RowKind.POOL;
    }
}
