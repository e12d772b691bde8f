/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.membership;

/**
 * What an upstream last said of itself. Immutable.
 *
 * @param id the identity of this start of the upstream
 * @param service the service it belongs to
 * @param address host and port
 * @param zone its availability zone
 * @param slots the requests it works on at once
 * @param stage the part it plays between prompt and answer
 * @param state whether it takes new work
 * @param sequence rises with each message of the upstream
 */
public record Registration(
        String id,
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

    /** Whether an upstream takes new work. A later state is never followed by an earlier one. */
    public enum State {
        /** Takes work. */
        READY,
        /** Finishes what it has. */
        DRAINING,
        /** Has left. */
        GONE
    }

    /**
     * Returns a copy in another state.
     *
     * @param changed the state
     * @return the registration
     */
    public Registration in(State changed) {
        return new Registration(id, service, address, zone, slots, stage, changed, sequence);
    }

    /**
     * Merges two messages of the same start: the newer one counts, but what has begun to leave
     * never comes back.
     *
     * @param other the other message
     * @return the merged registration
     */
    public Registration merge(Registration other) {
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
        return id.equals(other.id)
                && service.equals(other.service)
                && address.equals(other.address)
                && zone.equals(other.zone)
                && slots == other.slots
                && stage == other.stage
                && state == other.state;
    }
}
