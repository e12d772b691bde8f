/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.path;

import org.orchidmount.internal.http.ConnectionPath;

/** Receives the consequences of a change of path; called on one thread at a time. */
public interface PathListener {
    /**
     * Handles a change of the path of new connections.
     *
     * @param path the path in use from now on
     * @param isSilent whether nothing was received lately on any direct connection
     */
    void pathChanged(ConnectionPath path, boolean isSilent);

    /**
     * Handles that direct connections have been silent while new ones use tunnels.
     *
     * @param sinceNanos since when, of the monotonic clock
     */
    void directlySilent(long sinceNanos);
}
