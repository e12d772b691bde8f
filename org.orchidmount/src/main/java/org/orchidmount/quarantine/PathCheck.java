/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.quarantine;

import org.orchidmount.internal.http.Peer;

/**
 * Tells whether a connection that fails from here is due to the path or to the upstream. Blocks for
 * some round trips. Thread-safe.
 */
public interface PathCheck {
    /** For an instance that knows no other instances. */
    PathCheck NONE = new NoPathCheck();

    /**
     * Returns whether the path from this instance to an upstream is lost, so that a refused
     * connection does not tell that the upstream has ended.
     *
     * @param peer the address of the upstream
     * @return false if it is not known to be lost
     */
    boolean isLostFromHere(Peer peer);

    /**
     * Returns whether an upstream that is silent from here has ended, as other instances find that
     * reach other upstreams.
     *
     * @param peer the address of the upstream
     * @return true if they do not reach this one
     */
    boolean hasEndedForOthers(Peer peer);
}
