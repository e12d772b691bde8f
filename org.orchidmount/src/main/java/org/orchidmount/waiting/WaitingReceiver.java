/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.waiting;

import java.util.List;

/** Receives the waiting requests that other entries announce. Thread-safe. */
@FunctionalInterface
public interface WaitingReceiver {
    /**
     * Handles announced requests.
     *
     * @param requests the requests, in the order of their announcement
     */
    void onWaiting(List<WaitingRequest> requests);
}
