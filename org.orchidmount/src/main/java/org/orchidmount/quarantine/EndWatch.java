/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.quarantine;

import java.time.Duration;
import org.orchidmount.internal.http.Peer;

/** Watches whether the process of an upstream ends. Implementations are thread-safe. */
@FunctionalInterface
public interface EndWatch {
    /**
     * Watches for a while.
     *
     * @param peer where the upstream listens
     * @param longest how long
     * @return true once its process has ended; false if it has not by then
     */
    boolean endsWithin(Peer peer, Duration longest);
}
