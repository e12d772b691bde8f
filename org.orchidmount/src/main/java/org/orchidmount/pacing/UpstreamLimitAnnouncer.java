/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.pacing;

/** Distributes changes of limits to the other instances. Thread-safe. */
@FunctionalInterface
public interface UpstreamLimitAnnouncer {
    /**
     * Sends a record to the instances that are reachable. Does not block.
     *
     * @param limit a record that this instance holds
     */
    void announce(UpstreamLimit limit);
}
