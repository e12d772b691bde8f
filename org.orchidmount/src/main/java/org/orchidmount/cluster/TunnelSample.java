/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.orchidmount.internal.http.TunnelPeer;

/**
 * Chooses for an entry the entries that open tunnels for it: some of its own availability zone, and
 * some of others, because a cut may take a whole zone.
 *
 * <p>Selected by rendezvous hashing: another entry that comes or goes changes few samples, and
 * every entry helps about as many. Stateless.
 */
final class TunnelSample {
    /** Entries in a sample; all of them on a small site. */
    static final int SIZE = 8;

    /** Entries of the own availability zone in a sample, unless there are few others. */
    private static final int OWN_ZONE = 3;

    private TunnelSample() {}

    /**
     * Returns the sample of an entry.
     *
     * @param node the name of the entry
     * @param zone its availability zone
     * @param offers all entries that open tunnels
     * @return the sample, without the entry itself
     */
    static List<TunnelPeer> of(String node, String zone, Collection<TunnelPeer> offers) {
        List<TunnelPeer> near = new ArrayList<>();
        List<TunnelPeer> far = new ArrayList<>();
        for (TunnelPeer offer : offers) {
            if (!offer.node().equals(node)) {
                (offer.zone().equals(zone) ? near : far).add(offer);
            }
        }
        Comparator<TunnelPeer> byWeight = Comparator.comparingLong(offer -> weight(node, offer));
        near.sort(byWeight);
        far.sort(byWeight);
        int nearCount = Math.max(OWN_ZONE, SIZE - far.size());
        List<TunnelPeer> sample =
                new ArrayList<>(near.subList(0, Math.min(near.size(), nearCount)));
        sample.addAll(far.subList(0, Math.min(far.size(), SIZE - sample.size())));
        return sample;
    }

    /**
     * Mixes both names by the finalizer of SplitMix64, so that each pair has a weight of its own.
     */
    private static long weight(String node, TunnelPeer offer) {
        long bits = ((long) node.hashCode() << Integer.SIZE) ^ offer.node().hashCode();
        bits = (bits ^ (bits >>> 30)) * 0xbf58476d1ce4e5b9L;
        bits = (bits ^ (bits >>> 27)) * 0x94d049bb133111ebL;
        return bits ^ (bits >>> 31);
    }
}
