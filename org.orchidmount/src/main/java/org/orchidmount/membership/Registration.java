/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.membership;

import java.util.Optional;

/**
 * Most recent state that an upstream has reported of itself. Immutable.
 *
 * @param incarnation incarnation that sent the report
 * @param service service to which the upstream belongs
 * @param address host and port
 * @param zone availability zone
 * @param slots maximum number of concurrent requests
 * @param stage stage of prompt serving that the upstream performs
 * @param state whether the upstream accepts new work
 * @param sequence number that increases with each message of the same incarnation
 * @param version version of the upstream's software; versions have no order. Empty if it is not
 *     known, since an instance of an earlier build has forwarded the registration
 */
public record Registration(
        Incarnation incarnation,
        String service,
        String address,
        String zone,
        int slots,
        Stage stage,
        State state,
        long sequence,
        Optional<String> version) {

    /** Stage of prompt serving that an upstream performs. */
    public enum Stage {
        /** Plain service without prompt stages. */
        NONE,
        /** Processes prompts. */
        PREFILL,
        /** Generates tokens. */
        DECODE
    }

    /**
     * Whether an upstream accepts new work. Within one incarnation the state only moves forward in
     * the order of the constants.
     */
    public enum State {
        /** Accepts new work. */
        READY,
        /** Finishes its work in progress and accepts no more. */
        DRAINING,
        /** Has left. */
        GONE
    }

    /** Creates a registration of an upstream whose software version is not known. */
    public Registration(
            Incarnation incarnation,
            String service,
            String address,
            String zone,
            int slots,
            Stage stage,
            State state,
            long sequence) {
        this(incarnation, service, address, zone, slots, stage, state, sequence, Optional.empty());
    }

    /**
     * Creates a registration of an upstream that states neither its start nor its version.
     *
     * @param id identity of the upstream
     * @param service service to which the upstream belongs
     * @param address host and port
     * @param zone availability zone
     * @param slots maximum number of concurrent requests
     * @param stage stage of prompt serving that the upstream performs
     * @param state whether the upstream accepts new work
     * @param sequence number that increases with each message
     */
    public Registration(
            String id,
            String service,
            String address,
            String zone,
            int slots,
            Stage stage,
            State state,
            long sequence) {
        this(Incarnation.ofUnknownStart(id), service, address, zone, slots, stage, state, sequence);
    }

    /**
     * Returns the identity of the upstream, which its later incarnations may share.
     *
     * @return the identity
     */
    public String id() {
        return incarnation.id();
    }

    /**
     * Returns whether the upstream accepts no more work.
     *
     * @return true once it has announced that it leaves, or has left
     */
    public boolean isLeaving() {
        return state != State.READY;
    }

    /**
     * Returns a copy with another incarnation.
     *
     * @param other the incarnation
     * @return the copy
     */
    public Registration withIncarnation(Incarnation other) {
        return new Registration(
                other, service, address, zone, slots, stage, state, sequence, version);
    }

    /**
     * Returns a copy with another software version.
     *
     * @param other the version; empty if it is not known
     * @return the copy
     */
    public Registration withVersion(Optional<String> other) {
        return new Registration(
                incarnation, service, address, zone, slots, stage, state, sequence, other);
    }

    /**
     * Returns a copy in another state.
     *
     * @param changed the state
     * @return the copy
     */
    public Registration withState(State changed) {
        return new Registration(
                incarnation, service, address, zone, slots, stage, changed, sequence, version);
    }

    /**
     * Merges two registrations of the same upstream. Of two incarnations only the one with the
     * newer start counts. Within an incarnation the newer message wins, but a state never goes
     * back: an upstream that has begun to leave does not return. An incarnation keeps its version,
     * also if the newer message comes by an instance that does not forward versions.
     *
     * @param other the other registration
     * @return the merged registration
     */
    public Registration merge(Registration other) {
        if (incarnation.isNewerThan(other.incarnation)) {
            return this;
        }
        if (other.incarnation.isNewerThan(incarnation)) {
            return other;
        }
        Registration newer = other.sequence > sequence ? other : this;
        Registration older = newer == this ? other : this;
        State furthest = state.compareTo(other.state) >= 0 ? state : other.state;
        Registration merged = newer.state == furthest ? newer : newer.withState(furthest);
        return merged.version.isPresent() || older.version.isEmpty()
                ? merged
                : merged.withVersion(older.version);
    }

    /**
     * Returns whether another registration is equal to this one except for its sequence number.
     *
     * @param other the other registration
     * @return true if at most the sequence numbers differ
     */
    public boolean equalsIgnoringSequence(Registration other) {
        return incarnation.equals(other.incarnation)
                && service.equals(other.service)
                && address.equals(other.address)
                && zone.equals(other.zone)
                && slots == other.slots
                && stage == other.stage
                && state == other.state
                && version.equals(other.version);
    }
}
