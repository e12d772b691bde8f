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
 * The registrations known to one instance.
 *
 * <p>Of each identity only the incarnation with the newest start is held; what comes of an older
 * one changes nothing, nor does it count as received of the one held. Merging is commutative and
 * idempotent, so instances that have exchanged their registrations in any order hold the same.
 * Those that left are remembered for a while, so that a late message does not bring them back. Not
 * thread-safe.
 */
public final class Registry {
    private final Map<String, Entry> mEntries = new HashMap<>();
    private final long mRememberNanos;

    private record Entry(Registration registration, long heardNanos) {}

    /**
     * Creates an empty registry.
     *
     * @param rememberNanos how long those that left are remembered
     */
    public Registry(long rememberNanos) {
        mRememberNanos = rememberNanos;
    }

    /**
     * Merges a registration.
     *
     * @param message the registration
     * @param nowNanos the monotonic time
     * @return the registration now held if the message changed what it says, else nothing
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
        return merged.saysSame(held.registration()) ? Optional.empty() : Optional.of(merged);
    }

    /**
     * Merges the word of an upstream that it leaves, which another instance has just received. If
     * it states no start, since it names only the identity or that instance passes no starts on, it
     * is meant for the incarnation held now, as in {@link #leave}.
     *
     * @param leaving the registration
     * @param nowNanos the monotonic time
     * @return the registration now held if the message changed what it says, else nothing
     */
    public Optional<Registration> depart(Registration leaving, long nowNanos) {
        Entry held = mEntries.get(leaving.id());
        if (held == null || leaving.incarnation().isStartStated()) {
            return merge(leaving, nowNanos);
        }
        return merge(held.registration().in(leaving.state()), nowNanos);
    }

    /**
     * Notes that an upstream leaves, of which nothing else may be known. The word names only the
     * identity, so it ends the incarnation held now. One with a newer start takes its place; if no
     * start was known, one with any start does, since it may have started later.
     *
     * @param id its identity
     * @param nowNanos the monotonic time
     * @return the registration now held
     */
    public Registration leave(String id, long nowNanos) {
        Entry held = mEntries.get(id);
        Registration gone =
                held == null
                        ? new Registration(
                                id, "", "", "", 0, Registration.Stage.NONE, State.GONE, 0)
                        : held.registration().in(State.GONE);
        mEntries.put(id, new Entry(gone, nowNanos));
        return gone;
    }

    /**
     * Finds a registration.
     *
     * @param id the upstream's identity
     * @return what it last said, or nothing
     */
    public Optional<Registration> find(String id) {
        return Optional.ofNullable(mEntries.get(id)).map(Entry::registration);
    }

    /**
     * Returns all registrations, those that left too, the ones received last at the end.
     *
     * @return a copy
     */
    public List<Registration> all() {
        return mEntries.values().stream()
                .sorted(Comparator.comparingLong(Entry::heardNanos))
                .map(Entry::registration)
                .toList();
    }

    /**
     * Returns the departures of which no more is known than the identity.
     *
     * @return a copy
     */
    public List<Registration> departuresWithoutStart() {
        return mEntries.values().stream()
                .map(Entry::registration)
                .filter(held -> held.state() == State.GONE)
                .filter(held -> !held.incarnation().isStartStated())
                .toList();
    }

    /**
     * Returns the registrations received last within a time.
     *
     * @param fromNanos the monotonic time from which on they must have been received
     * @param beforeNanos the monotonic time before which they must have been received
     * @return a copy
     */
    public List<Registration> heardBetween(long fromNanos, long beforeNanos) {
        List<Registration> received = new ArrayList<>();
        for (Entry entry : mEntries.values()) {
            long heardNanos = entry.heardNanos();
            if (heardNanos - fromNanos >= 0 && heardNanos - beforeNanos < 0) {
                received.add(entry.registration());
            }
        }
        return received;
    }

    /**
     * Forgets those that left long ago.
     *
     * @param nowNanos the monotonic time
     */
    public void forgetOld(long nowNanos) {
        mEntries.values()
                .removeIf(
                        entry ->
                                entry.registration().state() == State.GONE
                                        && nowNanos - entry.heardNanos() > mRememberNanos);
    }
}
