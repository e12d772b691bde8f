/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.blackboard;

import org.orchidmount.routing.Decision;
import org.orchidmount.routing.DecisionInput;
import org.orchidmount.table.Table;

/** Decides on a waiting request under the board's lock. */
@FunctionalInterface
public interface Decider {
    /**
     * Decides.
     *
     * @param ticket the request
     * @param input what the decision depends on
     * @param table the table in force
     * @return the decision
     */
    Decision decide(Ticket ticket, DecisionInput input, Table table);
}
