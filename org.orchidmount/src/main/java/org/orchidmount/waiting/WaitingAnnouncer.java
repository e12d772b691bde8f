/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.waiting;

/** Announces the waiting requests of this entry to the other entries. Thread-safe. */
@FunctionalInterface
public interface WaitingAnnouncer {
    /**
     * Announces the state of a waiting request; returns without waiting.
     *
     * @param request the request
     */
    void announce(WaitingRequest request);
}
