/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.orchidmount.cluster.ClusterMessage.Greeting;
import org.orchidmount.consensus.Member;

/**
 * The links of a voter to other voters and to entries, and the known addresses of voters. Confined
 * to the voter's thread.
 */
final class VoterLinks implements AutoCloseable {
    /** Time after which a silent peer is no longer dialled. */
    private static final long PEER_RETENTION_NANOS = 30_000_000_000L;

    private final HostPort mSelf;
    private final Greeting mGreeting;
    private final Link.Handler mHandler;
    private final Set<HostPort> mSeeds;
    private final Map<HostPort, Dialer> mDialers = new HashMap<>();
    private final Map<HostPort, Member> mMembers = new HashMap<>();
    private final Map<HostPort, Long> mSeenNanos = new HashMap<>();
    private final Map<Link, VoterPeer> mVoterLinks = new LinkedHashMap<>();
    private final Map<Link, EntryPeer> mEntryLinks = new LinkedHashMap<>();

    /** A voter at the other end of a link. */
    private record VoterPeer(HostPort address, String zone, Set<Capability> capabilities) {}

    /** An entry at the other end of a link. */
    record EntryPeer(String node, String zone, Set<Capability> capabilities) {}

    VoterLinks(HostPort self, Greeting greeting, Collection<HostPort> seeds, Link.Handler handler) {
        mSelf = self;
        mGreeting = greeting;
        mHandler = handler;
        mSeeds = Set.copyOf(seeds);
        mSeeds.forEach(this::dial);
    }

    /** Keeps a link to an address open from now on; ignores the own address. */
    void dial(HostPort address) {
        if (!address.equals(mSelf)) {
            mDialers.computeIfAbsent(address, to -> new Dialer(to, mGreeting, mHandler));
        }
    }

    /**
     * Records the address of a replica; returns whether the address is new. The identity is not
     * compared: a replica that lost its disk appears under two identities for a while, which must
     * not count as a change again and again.
     */
    boolean learn(Member member, long nowNanos) {
        HostPort address = HostPort.parse(member.address());
        if (address.equals(mSelf)) {
            return false;
        }
        mSeenNanos.put(address, nowNanos);
        dial(address);
        return mMembers.put(address, member) == null;
    }

    void voterGreeted(Link link, Greeting greeting) {
        HostPort address = HostPort.parse(greeting.voter().address());
        mVoterLinks.put(link, new VoterPeer(address, greeting.zone(), greeting.capabilities()));
    }

    void entryGreeted(Link link, Greeting greeting) {
        mEntryLinks.put(
                link, new EntryPeer(greeting.node(), greeting.zone(), greeting.capabilities()));
    }

    boolean isGreeted(Link link) {
        return mVoterLinks.containsKey(link) || mEntryLinks.containsKey(link);
    }

    /**
     * Returns the address of the voter at the other end of a link; empty if the peer is no voter.
     */
    Optional<HostPort> voterAddress(Link link) {
        return Optional.ofNullable(mVoterLinks.get(link)).map(VoterPeer::address);
    }

    /** Returns the entry at the other end of a link; empty if the peer is none. */
    Optional<EntryPeer> entry(Link link) {
        return Optional.ofNullable(mEntryLinks.get(link));
    }

    void closed(Link link) {
        mVoterLinks.remove(link);
        mEntryLinks.remove(link);
    }

    /** Returns the replicas known to this voter, and itself. */
    List<Member> membersWith(Member self) {
        List<Member> known = new ArrayList<>(mMembers.values());
        known.add(self);
        return known;
    }

    int entries() {
        return (int) mEntryLinks.values().stream().map(EntryPeer::node).distinct().count();
    }

    /** Returns the number of linked entries that support a capability. */
    int entriesSupporting(Capability capability) {
        return (int)
                mEntryLinks.values().stream()
                        .filter(entry -> entry.capabilities().contains(capability))
                        .map(EntryPeer::node)
                        .distinct()
                        .count();
    }

    void send(Member to, ClusterMessage message) {
        HostPort address = HostPort.parse(to.address());
        for (Map.Entry<Link, VoterPeer> link : mVoterLinks.entrySet()) {
            if (link.getValue().address().equals(address) && link.getKey().isOpen()) {
                link.getKey().send(message);
                return;
            }
        }
    }

    /** Sends a message to every linked voter, once even if several links lead to it. */
    void sendToVoters(ClusterMessage message) {
        Frame frame = new Frame(message);
        Set<HostPort> reached = new HashSet<>();
        for (Map.Entry<Link, VoterPeer> link : mVoterLinks.entrySet()) {
            if (link.getKey().isOpen() && reached.add(link.getValue().address())) {
                link.getKey().send(frame);
            }
        }
    }

    /** Sends a message to all voters and entries that support a capability. */
    void sendToAllSupporting(Capability capability, ClusterMessage message) {
        Frame frame = new Frame(message);
        mVoterLinks.forEach(
                (link, voter) -> sendIf(voter.capabilities().contains(capability), link, frame));
        mEntryLinks.forEach(
                (link, entry) -> sendIf(entry.capabilities().contains(capability), link, frame));
    }

    private static void sendIf(boolean isRecipient, Link link, Frame frame) {
        if (isRecipient) {
            link.send(frame);
        }
    }

    /** Sends a message to all entries that support a capability. */
    void sendToEntriesSupporting(Capability capability, ClusterMessage message) {
        Frame frame = new Frame(message);
        mEntryLinks.forEach(
                (link, entry) -> sendIf(entry.capabilities().contains(capability), link, frame));
    }

    void sendToEntries(ClusterMessage message) {
        Frame frame = new Frame(message);
        mEntryLinks.keySet().forEach(link -> link.send(frame));
    }

    /**
     * Sends a message to the entries of this voter's availability zone, and to those of zones
     * without a voter linked to this one.
     */
    void sendToNearEntries(ClusterMessage message) {
        sendToNearEntries(new Frame(message), entry -> true);
    }

    /** Sends a frame to those near entries that support a capability. */
    void sendToNearEntriesSupporting(Capability capability, Frame frame) {
        sendToNearEntries(frame, entry -> entry.capabilities().contains(capability));
    }

    private void sendToNearEntries(Frame frame, Predicate<EntryPeer> isRecipient) {
        Set<String> otherZones = new HashSet<>();
        mVoterLinks.forEach(
                (link, voter) -> {
                    if (link.isOpen()) {
                        otherZones.add(voter.zone());
                    }
                });
        otherZones.remove(mGreeting.zone());
        mEntryLinks.forEach(
                (link, entry) ->
                        sendIf(
                                !otherZones.contains(entry.zone()) && isRecipient.test(entry),
                                link,
                                frame));
    }

    /**
     * Stops dialling addresses that are neither seeds nor voters and have been silent for too long.
     */
    void forgetSilentPeers(Collection<Member> voters, long nowNanos) {
        mVoterLinks.values().forEach(voter -> mSeenNanos.put(voter.address(), nowNanos));
        for (Member voter : voters) {
            learn(voter, nowNanos);
        }
        mSeenNanos
                .entrySet()
                .removeIf(
                        seen -> {
                            boolean old = nowNanos - seen.getValue() > PEER_RETENTION_NANOS;
                            if (old) {
                                mMembers.remove(seen.getKey());
                                stopDialing(seen.getKey());
                            }
                            return old;
                        });
    }

    private void stopDialing(HostPort address) {
        if (!mSeeds.contains(address)) {
            Dialer dialer = mDialers.remove(address);
            if (dialer != null) {
                dialer.close();
            }
        }
    }

    @Override
    public void close() {
        mDialers.values().forEach(Dialer::close);
        mVoterLinks.keySet().forEach(Link::close);
        mEntryLinks.keySet().forEach(Link::close);
    }
}
