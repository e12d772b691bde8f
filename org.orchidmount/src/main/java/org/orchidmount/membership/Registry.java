/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.orchidmount.membership.Registration.State;

/**
 * Registrations known to one instance.
 *
 * <p>For each identity only the incarnation with the newest start is held. Messages of an older one
 * are ignored, and do not count as received from the one held. Merging is commutative and
 * idempotent, so instances that have exchanged their registrations in any order hold the same set.
 * Departed upstreams are retained for a while, so that a late message does not revive them. Not
 * thread-safe.
 */
public final class Registry {
    private final Map<String, Entry> mEntries = new HashMap<>();
    private final long mRetentionNanos;

    private record Entry(Registration registration, long receivedNanos) {}

    /**
     * Creates an empty registry.
     *
     * @param retentionNanos how long departed upstreams are retained
     */
    public Registry(long retentionNanos) {
        mRetentionNanos = retentionNanos;
    }

    /**
     * Merges a registration.
     *
     * @param message the registration
     * @param nowNanos monotonic time
     * @return the registration now held if it changed in more than the sequence number, else empty
     */
    public Optional<Registration> merge(Registration message, long nowNanos) {
        Entry held = mEntries.get(message.id());
        if (held == null) {
            mEntries.put(message.id(), new Entry(message, nowNanos));
            return Optional.of(message);
        }
        if (held.registration().incarnation().isNewerThan(message.incarnation())) {
            return Optional.empty();
        }
        Registration merged = held.registration().merge(message);
        mEntries.put(message.id(), new Entry(merged, nowNanos));
        return merged.equalsIgnoringSequence(held.registration())
                ? Optional.empty()
                : Optional.of(merged);
    }

    /**
     * Merges the notice of a departure that another instance has just received. A notice without a
     * start, either because it names only the identity or because that instance does not forward
     * starts, applies to the incarnation held now, as in {@link #markDeparted}.
     *
     * @param leaving the registration
     * @param nowNanos monotonic time
     * @return the registration now held if it changed in more than the sequence number, else empty
     */
    public Optional<Registration> mergeDeparture(Registration leaving, long nowNanos) {
        Entry held = mEntries.get(leaving.id());
        if (held == null || leaving.incarnation().isStartKnown()) {
            return merge(leaving, nowNanos);
        }
        return merge(held.registration().withState(leaving.state()), nowNanos);
    }

    /**
     * Records the departure of an upstream of which nothing else may be known. The notice names
     * only the identity, so it ends the incarnation held now. An incarnation with a newer start
     * replaces the departed one; if no start was known, any stated start does, since that
     * incarnation may have started later.
     *
     * @param id identity of the upstream
     * @param nowNanos monotonic time
     * @return the registration now held
     */
    public Registration markDeparted(String id, long nowNanos) {
        Entry held = mEntries.get(id);
        Registration gone =
                held == null
                        ? new Registration(
                                id, "", "", "", 0, Registration.Stage.NONE, State.GONE, 0)
                        : held.registration().withState(State.GONE);
        mEntries.put(id, new Entry(gone, nowNanos));
        return gone;
    }

    /**
     * Returns the registration of an upstream.
     *
     * @param id identity of the upstream
     * @return its registration, or empty if unknown
     */
    public Optional<Registration> find(String id) {
        return Optional.ofNullable(mEntries.get(id)).map(Entry::registration);
    }

    /**
     * Returns all registrations, including departed upstreams, the most recently received last.
     *
     * @return a copy
     */
    public List<Registration> all() {
        return mEntries.values().stream()
                .sorted(Comparator.comparingLong(Entry::receivedNanos))
                .map(Entry::registration)
                .toList();
    }

    /**
     * Returns the departed upstreams whose start is not known.
     *
     * @return a copy
     */
    public List<Registration> departuresWithoutStartTime() {
        return mEntries.values().stream()
                .map(Entry::registration)
                .filter(held -> held.state() == State.GONE)
                .filter(held -> !held.incarnation().isStartKnown())
                .toList();
    }

    /**
     * Returns the registrations that were last received within a period.
     *
     * @param fromNanos monotonic start of the period, inclusive
     * @param beforeNanos monotonic end of the period, exclusive
     * @return a copy
     */
    public List<Registration> receivedBetween(long fromNanos, long beforeNanos) {
        List<Registration> received = new ArrayList<>();
        for (Entry entry : mEntries.values()) {
            long receivedNanos = entry.receivedNanos();
            if (receivedNanos - fromNanos >= 0 && receivedNanos - beforeNanos < 0) {
                received.add(entry.registration());
            }
        }
        return received;
    }

    /**
     * Removes departed upstreams whose retention has ended.
     *
     * @param nowNanos monotonic time
     */
    public void removeExpired(long nowNanos) {
        mEntries.values()
                .removeIf(
                        entry ->
                                entry.registration().state() == State.GONE
                                        && nowNanos - entry.receivedNanos() > mRetentionNanos);
    }
}
