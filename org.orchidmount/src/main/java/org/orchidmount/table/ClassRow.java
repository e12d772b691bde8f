/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.table;

/**
 * A request class: its weight in the queue and the lateness it tolerates. Immutable.
 *
 * @param name the class's name, given in the header "Orchidmount-Class"
 * @param weight the share of this class in the queue against other classes, from 1 to 1000
 * @param priority the engine priority, lower first, from 0 to 9
 * @param maxWaitMillis the longest stay in the queue; then the request is refused as not run
 * @param maxFirstTokenMillis a request predicted to get its first token later than this is refused
 *     at once as not run; 0 for no bound
 * @param maxRunning the most requests of this class running, 0 for no limit
 * @param maxQueued the most requests of this class waiting, 0 for no limit
 */
public record ClassRow(
        String name,
        int weight,
        int priority,
        long maxWaitMillis,
        long maxFirstTokenMillis,
        int maxRunning,
        int maxQueued)
        implements Row {
    /** Checks the fields. */
    public ClassRow {
        Fields.name("name", name);
        Fields.range("weight", weight, 1, RowLimits.MAX_WEIGHT);
        Fields.range("priority", priority, 0, RowLimits.MAX_PRIORITY);
        Fields.range("maxWaitMillis", maxWaitMillis, 1, RowLimits.MAX_MILLIS);
        Fields.range("maxFirstTokenMillis", maxFirstTokenMillis, 0, RowLimits.MAX_MILLIS);
        Fields.range("maxRunning", maxRunning, 0, RowLimits.MAX_REQUESTS);
        Fields.range("maxQueued", maxQueued, 0, RowLimits.MAX_REQUESTS);
    }

    @Override
    public RowKind rowKind() {
        return RowKind.CLASS;
    }
}
