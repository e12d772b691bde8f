/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.quarantine;

import org.orchidmount.internal.http.Peer;

/** Determines whether only this instance cannot connect to an upstream. Thread-safe. */
@FunctionalInterface
public interface PathCheck {
    /** For an instance that knows no other instances. */
    PathCheck NONE = peer -> false;

    /**
     * Returns whether the path from this instance to an upstream is lost, so that a refused
     * connection does not tell that the upstream has ended. Blocks for some round trips.
     *
     * @param peer the address of the upstream
     * @return false if it is not known to be lost
     */
    boolean isLostFromHere(Peer peer);
}
