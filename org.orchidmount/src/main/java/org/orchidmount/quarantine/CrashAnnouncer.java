/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.quarantine;

/** Distributes crash records to the other instances. Thread-safe. */
@FunctionalInterface
public interface CrashAnnouncer {
    /**
     * Sends a record to the instances that are reachable, and to the others once they are. Does not
     * block.
     *
     * @param record a record that the registry of this instance holds
     */
    void announce(CrashRecord record);
}
