/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.waiting;

import java.util.function.BooleanSupplier;
import org.orchidmount.clock.MonotonicClock;

/**
 * The queue of waiting requests as the relay uses it. Thread-safe.
 *
 * @param requests the waiting requests of all entries
 * @param announcer announces the own ones
 * @param isInForce whether requests are placed in order; otherwise each entry searches for itself
 */
public record WaitingQueue(
        WaitingRequests requests, WaitingAnnouncer announcer, BooleanSupplier isInForce) {
    /**
     * Creates a queue that is never in force.
     *
     * @param clock the clock
     * @return the queue
     */
    public static WaitingQueue notInForce(MonotonicClock clock) {
        return new WaitingQueue(new WaitingRequests(clock), request -> {}, () -> false);
    }
}
