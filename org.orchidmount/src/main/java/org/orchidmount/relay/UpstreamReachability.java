/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;
import org.orchidmount.internal.http.ConnectionPath;
import org.orchidmount.internal.http.ConnectionPaths.TunnelResult;
import org.orchidmount.internal.http.HttpConnections;
import org.orchidmount.internal.http.Peer;
import org.orchidmount.internal.http.TunnelPeer;
import org.orchidmount.pacing.UpstreamThrottle;
import org.orchidmount.path.PathListener;
import org.orchidmount.path.PathNetwork;
import org.orchidmount.quarantine.TerminationProbe;
import org.orchidmount.quarantine.TerminationRule.Circumstances;
import org.orchidmount.quarantine.TerminationRule.Witness;
import org.orchidmount.quarantine.TerminationWitnesses;
import org.orchidmount.routes.RouteTable;

/**
 * Verifies paths with the connections and the directory of upstreams of this instance, and applies
 * changes of path to them. Thread-safe after {@link #setConnections}.
 */
public final class UpstreamReachability implements PathNetwork, PathListener, TerminationWitnesses {
    /** Other upstreams that are tried to tell a lost path from an upstream that has terminated. */
    private static final int OTHERS_TRIED = 2;

    /** Other instances asked whether an upstream has ended. */
    private static final int MAX_WITNESSES = 4;

    /** Far longer than a round trip within a site. */
    private static final Duration CHECK_TIMEOUT = Duration.ofMillis(100);

    private final UpstreamDirectory mUpstreams;
    private volatile HttpConnections mConnections;
    private volatile ToIntFunction<String> mMaxAssignments =
            service -> UpstreamDirectory.Need.UNLIMITED;

    /**
     * Creates an instance.
     *
     * @param upstreams the upstreams known to this instance
     */
    public UpstreamReachability(UpstreamDirectory upstreams) {
        mUpstreams = upstreams;
    }

    /**
     * Sets what bounds the connections of probes, as it bounds those of requests; until then
     * nothing does.
     *
     * @param table the route table in force
     * @param throttle knows this instance's share of what an upstream accepts
     */
    public void setLimits(Supplier<Optional<RouteTable>> table, UpstreamThrottle throttle) {
        mMaxAssignments =
                name ->
                        table.get()
                                .flatMap(current -> current.service(name))
                                .map(service -> RelayContext.maxAssignments(service, throttle))
                                .orElse(UpstreamDirectory.Need.UNLIMITED);
    }

    /**
     * Sets the connections, which are created with the monitor that uses this.
     *
     * @param connections connections to upstreams
     */
    public void setConnections(HttpConnections connections) {
        mConnections = connections;
    }

    @Override
    public List<Peer> sample(int most) {
        return mUpstreams.sample(most);
    }

    @Override
    public Attempt connect(Peer upstream, Duration timeout, boolean isForced)
            throws InterruptedException {
        Optional<Assignment> assignment = mUpstreams.assignProbe(upstream, mMaxAssignments);
        if (assignment.isEmpty() && !isForced) {
            return Attempt.NOT_MADE;
        }
        try {
            return mConnections.probes().connects(upstream, timeout)
                    ? Attempt.CONNECTED
                    : Attempt.FAILED;
        } finally {
            assignment.ifPresent(mUpstreams::release);
        }
    }

    @Override
    public boolean tunnels(Peer upstream) {
        return mConnections.probes().tunnels(upstream);
    }

    @Override
    public void giveUpDirect(Peer upstream, long sinceNanos) {
        mConnections.giveUpDirect(upstream, sinceNanos);
    }

    @Override
    public Circumstances ask(Peer peer) {
        List<Peer> others = othersThan(peer);
        List<Witness> witnesses = new ArrayList<>();
        for (TunnelPeer instance : mConnections.probes().tunnelPeers(MAX_WITNESSES)) {
            TunnelResult found = mConnections.probes().tunnel(peer, instance);
            if (found != TunnelResult.INSTANCE_REFUSED) {
                witnesses.add(witness(found, instance, others));
            }
        }
        boolean reachesOthers = others.stream().anyMatch(this::connectsInTime);
        return new Circumstances(witnesses, !others.isEmpty(), reachesOthers);
    }

    private Witness witness(TunnelResult found, TunnelPeer instance, List<Peer> others) {
        if (found == TunnelResult.OPENED) {
            return new Witness(TerminationProbe.Finding.LISTENS, true);
        }
        if (found == TunnelResult.UPSTREAM_SILENT) {
            return new Witness(TerminationProbe.Finding.SILENT, false);
        }
        boolean reachesOthers =
                others.stream()
                        .anyMatch(
                                other ->
                                        mConnections.probes().tunnel(other, instance)
                                                == TunnelResult.OPENED);
        return new Witness(TerminationProbe.Finding.ENDED, reachesOthers);
    }

    private List<Peer> othersThan(Peer peer) {
        List<Peer> others = new ArrayList<>(mUpstreams.sample(OTHERS_TRIED + 1));
        others.removeIf(other -> other.host().equals(peer.host()) && other.port() == peer.port());
        return others;
    }

    private boolean connectsInTime(Peer upstream) {
        try {
            return connect(upstream, CHECK_TIMEOUT, true) == Attempt.CONNECTED;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /**
     * Also when there is no path at all, silent connections are closed: a request that is sent on
     * one would be lost. Those on which something was received lately still serve.
     */
    @Override
    public void pathChanged(ConnectionPath path, boolean isSilent) {
        if (path == ConnectionPath.DIRECT) {
            mConnections.closeIdle(true);
        } else if (path == ConnectionPath.TUNNEL || isSilent) {
            mConnections.closeIdle(false);
        }
        mUpstreams.forgetFailures();
    }

    @Override
    public void directlySilent(long sinceNanos) {
        mConnections.abortDirectCalls(sinceNanos);
    }
}
