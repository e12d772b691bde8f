/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.orchidmount.cluster.ClusterMessage.Greeting;
import org.orchidmount.cluster.ClusterMessage.PathReport;
import org.orchidmount.cluster.ClusterMessage.TunnelOffers;
import org.orchidmount.internal.http.ConnectionPath;
import org.orchidmount.internal.http.TunnelPeer;
import org.orchidmount.internal.log.PartLog;

/**
 * The part of a voter that tells entries which others open tunnels for them, and knows how each
 * entry reaches upstreams.
 *
 * <p>An entry is sent its sample when it connects and whenever the sample changes, in batches, so
 * that a restart of many entries costs each one few messages. Confined to the voter's thread.
 */
final class VoterTunnels {
    private static final PartLog LOG = PartLog.of("voter");

    /** Batches the entries that connect or leave together. */
    private static final long BATCH_MILLIS = 200;

    private final TaskThread mTasks;
    private final Map<Link, Greeting> mEntries = new LinkedHashMap<>();
    private final Map<Link, List<TunnelPeer>> mSent = new HashMap<>();
    private final Map<Link, ConnectionPath> mPaths = new HashMap<>();
    private boolean mIsScheduled;

    VoterTunnels(TaskThread tasks) {
        mTasks = tasks;
    }

    /** Handles the greeting of an entry. */
    void entryGreeted(Link link, Greeting greeting) {
        mEntries.put(link, greeting);
        schedule();
    }

    void closed(Link link) {
        mSent.remove(link);
        mPaths.remove(link);
        if (mEntries.remove(link) != null) {
            schedule();
        }
    }

    /** Handles a message about paths; returns false for other messages. */
    boolean received(Link link, ClusterMessage message) {
        if (!(message instanceof PathReport report)) {
            return false;
        }
        Greeting entry = mEntries.get(link);
        if (entry != null) {
            mPaths.put(link, report.path());
            LOG.info("entry %s reaches upstreams by %s", entry.node(), report.path());
        }
        return true;
    }

    /** Returns how each linked entry reaches upstreams, by the name of the entry. */
    SortedMap<String, ConnectionPath> paths() {
        SortedMap<String, ConnectionPath> paths = new TreeMap<>();
        mEntries.forEach(
                (link, entry) ->
                        paths.put(entry.node(), mPaths.getOrDefault(link, ConnectionPath.DIRECT)));
        return paths;
    }

    private void schedule() {
        if (!mIsScheduled) {
            mIsScheduled = true;
            mTasks.after(BATCH_MILLIS, this::sendChanged);
        }
    }

    private void sendChanged() {
        mIsScheduled = false;
        Map<String, TunnelPeer> offers = new LinkedHashMap<>();
        for (Greeting entry : mEntries.values()) {
            entry.tunnels().ifPresent(offer -> offers.put(offer.node(), offer));
        }
        for (Map.Entry<Link, Greeting> entry : new ArrayList<>(mEntries.entrySet())) {
            if (entry.getValue().supports(Capability.TUNNELS)) {
                sendIfChanged(entry.getKey(), entry.getValue(), offers);
            }
        }
    }

    private void sendIfChanged(Link link, Greeting entry, Map<String, TunnelPeer> offers) {
        List<TunnelPeer> sample = TunnelSample.of(entry.node(), entry.zone(), offers.values());
        if (!sample.equals(mSent.getOrDefault(link, List.of()))) {
            mSent.put(link, sample);
            link.send(new TunnelOffers(sample));
        }
    }
}
