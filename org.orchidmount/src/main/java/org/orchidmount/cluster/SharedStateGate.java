/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import org.orchidmount.routes.RouteTable;
import org.orchidmount.routes.Service;

/**
 * Determines whether the entries of a site share what they know of upstreams and of waiting
 * requests.
 *
 * <p>They do while there are at least a configured number of entries for each slot of an engine. At
 * four entries for each slot, at most one entry in four has a request at a given engine, even if
 * every slot is taken, so what an entry observes on its own is too old by the time it needs it. A
 * site with an engine service whose number of slots is unknown does not share. Immutable and
 * thread-safe.
 */
public final class SharedStateGate {
    private final int mEntriesPerSlot;

    /**
     * Creates a gate.
     *
     * @param entriesPerSlot number of entries for each slot of an engine from which on state is
     *     shared
     * @throws IllegalArgumentException if the number is below 1
     */
    public SharedStateGate(int entriesPerSlot) {
        if (entriesPerSlot < 1) {
            throw new IllegalArgumentException(
                    "entriesPerSlot is " + entriesPerSlot + "; give a number of at least 1");
        }
        mEntriesPerSlot = entriesPerSlot;
    }

    /**
     * Returns whether shared state is in force.
     *
     * @param table the route table in force
     * @param entries number of entries of the site
     * @return true if there are enough entries for the smallest engine of the table
     */
    public boolean isInForce(RouteTable table, int entries) {
        int slots =
                table.services().stream()
                        .flatMap(service -> service.engine().stream())
                        .mapToInt(Service.Engine::slots)
                        .min()
                        .orElse(0);
        return slots > 0 && entries >= (long) mEntriesPerSlot * slots;
    }
}
