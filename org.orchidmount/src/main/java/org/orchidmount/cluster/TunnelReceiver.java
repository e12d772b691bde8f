/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.util.List;
import org.orchidmount.internal.http.TunnelPeer;

/** Receives the instances that open tunnels for this one. Called on one thread. */
@FunctionalInterface
public interface TunnelReceiver {
    /**
     * Handles an announcement, which replaces the previous one of the same voter.
     *
     * @param voter the cluster address of the voter
     * @param peers the instances
     */
    void announced(String voter, List<TunnelPeer> peers);
}
