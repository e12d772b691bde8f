/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.quarantine;

import org.orchidmount.internal.http.Peer;

/** Determines whether an upstream whose connection broke has terminated. Thread-safe. */
@FunctionalInterface
public interface TerminationProbe {
    /** Result of a probe. */
    enum Finding {
        /** The host answers and nothing listens on the port: the process has terminated. */
        ENDED,
        /** Something listens on the port: the upstream, or one that has already taken its place. */
        LISTENS,
        /** No answer: the host is down, or the network is partitioned. */
        SILENT
    }

    /**
     * Probes the address of an upstream.
     *
     * @param peer the upstream
     * @return result, within a fraction of a second
     */
    Finding probe(Peer peer);
}
