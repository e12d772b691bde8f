/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.quarantine;

import java.time.Duration;
import org.orchidmount.internal.http.Peer;

/** Waits for the termination of the process of an upstream. Implementations are thread-safe. */
@FunctionalInterface
public interface TerminationWatch {
    /**
     * Blocks until the process has terminated or the timeout has expired.
     *
     * @param peer address of the upstream
     * @param timeout how long to wait at most
     * @return true if the process has terminated; false if the timeout expired or the upstream
     *     cannot be watched
     */
    boolean awaitTermination(Peer peer, Duration timeout);
}
