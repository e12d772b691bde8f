/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.path;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.internal.http.TunnelPeer;
import org.orchidmount.internal.lock.LockRank;
import org.orchidmount.internal.lock.OrderedLock;

/**
 * The instances that open tunnels for this one, as voters have announced them.
 *
 * <p>The last announcement of a voter stays in use while the voter cannot be reached. An instance
 * that refused or did not answer is asked after all others for a while. Thread-safe.
 */
public final class TunnelPeers {
    /** Announcements kept; more than the voters of any site. */
    private static final int MAX_SOURCES = 16;

    /** How long an instance is asked last after it refused. */
    private static final Duration AVOIDED = Duration.ofSeconds(1);

    private final OrderedLock mLock = new OrderedLock(LockRank.PATHS);
    private final String mZone;
    private final MonotonicClock mClock;
    private final RandomGenerator mRandom;
    private final LinkedHashMap<String, List<TunnelPeer>> mAnnounced = new LinkedHashMap<>();
    private final Map<String, Long> mAvoidedUntilNanos = new HashMap<>();

    /**
     * Creates an empty set.
     *
     * @param zone the availability zone of this instance, whose instances are preferred
     * @param clock the clock
     * @param random spreads tunnels over the instances
     */
    public TunnelPeers(String zone, MonotonicClock clock, RandomGenerator random) {
        mZone = zone;
        mClock = clock;
        mRandom = random;
    }

    /**
     * Replaces the announcement of a voter.
     *
     * @param voter the address of the voter
     * @param peers the instances that it announced
     */
    public void update(String voter, List<TunnelPeer> peers) {
        try (OrderedLock.Held _ = mLock.hold()) {
            mAnnounced.putLast(voter, List.copyOf(peers));
            if (mAnnounced.size() > MAX_SOURCES) {
                mAnnounced.pollFirstEntry();
            }
        }
    }

    /**
     * Returns instances to ask for a tunnel, in this order: those that did not refuse lately before
     * the others, those of the own availability zone before the others, otherwise at random.
     *
     * @param most the maximum number
     * @return the instances
     */
    public List<TunnelPeer> candidates(int most) {
        List<Candidate> candidates = new ArrayList<>();
        try (OrderedLock.Held _ = mLock.hold()) {
            long nowNanos = mClock.nanoTime();
            mAvoidedUntilNanos.values().removeIf(untilNanos -> untilNanos - nowNanos < 0);
            for (TunnelPeer peer : latest()) {
                candidates.add(
                        new Candidate(
                                peer,
                                mAvoidedUntilNanos.containsKey(peer.node()),
                                !peer.zone().equals(mZone),
                                mRandom.nextLong()));
            }
        }
        return candidates.stream()
                .sorted(Candidate.ORDER)
                .limit(most)
                .map(Candidate::peer)
                .toList();
    }

    /** Returns each instance once, as it was announced last. */
    private Collection<TunnelPeer> latest() {
        Map<String, TunnelPeer> byNode = new LinkedHashMap<>();
        mAnnounced.values().forEach(peers -> peers.forEach(peer -> byNode.put(peer.node(), peer)));
        return byNode.values();
    }

    /**
     * Records that an instance opened a tunnel.
     *
     * @param peer the instance
     */
    public void opened(TunnelPeer peer) {
        try (OrderedLock.Held _ = mLock.hold()) {
            mAvoidedUntilNanos.remove(peer.node());
        }
    }

    /**
     * Records that an instance refused to open a tunnel, or could not be reached.
     *
     * @param peer the instance
     */
    public void refused(TunnelPeer peer) {
        try (OrderedLock.Held _ = mLock.hold()) {
            mAvoidedUntilNanos.put(peer.node(), mClock.nanoTime() + AVOIDED.toNanos());
        }
    }

    private record Candidate(
            TunnelPeer peer, boolean isAvoided, boolean isInOtherZone, long tieBreaker) {
        static final Comparator<Candidate> ORDER =
                Comparator.comparing(Candidate::isAvoided)
                        .thenComparing(Candidate::isInOtherZone)
                        .thenComparingLong(Candidate::tieBreaker);
    }
}
