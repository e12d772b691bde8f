/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.membership;

/**
 * What an upstream last said of itself. Immutable.
 *
 * @param incarnation which start of the upstream says so
 * @param service the service it belongs to
 * @param address host and port
 * @param zone its availability zone
 * @param slots the requests it works on at once
 * @param stage the part it plays between prompt and answer
 * @param state whether it takes new work
 * @param sequence rises with each message of the same incarnation
 */
public record Registration(
        Incarnation incarnation,
        String service,
        String address,
        String zone,
        int slots,
        Stage stage,
        State state,
        long sequence) {

    /** The part of an upstream in serving a prompt. */
    public enum Stage {
        /** A plain service. */
        NONE,
        /** Reads prompts. */
        PREFILL,
        /** Makes tokens. */
        DECODE
    }

    /**
     * Whether an upstream takes new work. A later state is followed by an earlier one only in
     * another incarnation.
     */
    public enum State {
        /** Takes work. */
        READY,
        /** Finishes what it has. */
        DRAINING,
        /** Has left. */
        GONE
    }

    /**
     * Creates what an upstream says that states no start.
     *
     * @param id the identity of the upstream
     * @param service the service it belongs to
     * @param address host and port
     * @param zone its availability zone
     * @param slots the requests it works on at once
     * @param stage the part it plays between prompt and answer
     * @param state whether it takes new work
     * @param sequence rises with each message
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
        this(
                Incarnation.ofUnstatedStart(id),
                service,
                address,
                zone,
                slots,
                stage,
                state,
                sequence);
    }

    /**
     * Returns the identity of the upstream, which later incarnations may have too.
     *
     * @return the identity
     */
    public String id() {
        return incarnation.id();
    }

    /**
     * Returns a copy that is said by another incarnation.
     *
     * @param other the incarnation
     * @return the registration
     */
    public Registration by(Incarnation other) {
        return new Registration(other, service, address, zone, slots, stage, state, sequence);
    }

    /**
     * Returns a copy in another state.
     *
     * @param changed the state
     * @return the registration
     */
    public Registration in(State changed) {
        return new Registration(
                incarnation, service, address, zone, slots, stage, changed, sequence);
    }

    /**
     * Merges two messages of the same upstream. Of two incarnations the one with the newer start
     * counts alone. Within one the newer message counts, but what has begun to leave never comes
     * back.
     *
     * @param other the other message
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
        State furthest = state.compareTo(other.state) >= 0 ? state : other.state;
        return newer.state == furthest ? newer : newer.in(furthest);
    }

    /**
     * Tells whether another message says the same but for its number.
     *
     * @param other the other message
     * @return true if nothing but the sequence differs
     */
    public boolean saysSame(Registration other) {
        return incarnation.equals(other.incarnation)
                && service.equals(other.service)
                && address.equals(other.address)
                && zone.equals(other.zone)
                && slots == other.slots
                && stage == other.stage
                && state == other.state;
    }
}
