/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.pacing;

/** Passes changes of limits on to the other instances. Thread-safe. */
@FunctionalInterface
public interface UpstreamLimitAnnouncer {
    /**
     * Passes a record on to the instances that can be reached. Returns at once.
     *
     * @param limit a record that this instance holds
     */
    void announce(UpstreamLimit limit);
}
