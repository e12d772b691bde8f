/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.util.Map;
import org.orchidmount.cluster.ClusterMessage.Greeting;
import org.orchidmount.cluster.ClusterMessage.PathReport;
import org.orchidmount.cluster.ClusterMessage.TunnelOffers;
import org.orchidmount.internal.http.ConnectionPath;

/**
 * The part of an entry that receives the instances that open tunnels, and reports to voters how it
 * reaches upstreams. Confined to the entry's thread.
 */
final class EntryTunnels {
    private final TunnelReceiver mReceiver;
    private ConnectionPath mPath = ConnectionPath.DIRECT;

    EntryTunnels(TunnelReceiver receiver) {
        mReceiver = receiver;
    }

    /** Reports a change of path to the linked voters. */
    void report(ConnectionPath path, Map<Link, Greeting> voters) {
        mPath = path;
        voters.forEach(this::send);
    }

    /** Reports the path to a voter that was linked, unless it is what a voter assumes. */
    void linked(Link voter, Greeting greeting) {
        if (mPath != ConnectionPath.DIRECT) {
            send(voter, greeting);
        }
    }

    private void send(Link voter, Greeting greeting) {
        if (greeting.supports(Capability.TUNNELS)) {
            voter.send(new PathReport(mPath));
        }
    }

    /** Handles an announcement of tunnels; returns false for other messages. */
    boolean received(HostPort voter, ClusterMessage message) {
        if (!(message instanceof TunnelOffers announced)) {
            return false;
        }
        mReceiver.announced(String.valueOf(voter), announced.peers());
        return true;
    }
}
