/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.quarantine;

import org.orchidmount.internal.http.Peer;

/**
 * Asks what other instances find of an upstream, and whether the path from here is intact. Blocks
 * for some round trips. Thread-safe.
 */
@FunctionalInterface
public interface TerminationWitnesses {
    /** For an instance that knows no other instances. */
    TerminationWitnesses NONE = peer -> TerminationRule.Circumstances.UNKNOWN;

    /**
     * Asks about an upstream.
     *
     * @param peer the upstream
     * @return the answers
     */
    TerminationRule.Circumstances ask(Peer peer);
}
