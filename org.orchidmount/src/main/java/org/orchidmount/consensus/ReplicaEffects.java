/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.consensus;

/** What a replica asks of its surroundings. All calls come from the replica's own thread. */
public interface ReplicaEffects {
    /**
     * Sends a message; it may be lost.
     *
     * @param to the receiver
     * @param message the message
     */
    void send(Member to, ReplicaMessage message);

    /**
     * Sends a message to every replica known, voter or not.
     *
     * @param message the message
     */
    void announce(ReplicaMessage message);

    /**
     * Writes a state to the disk, without waiting. Later states replace earlier ones that have not
     * been written yet. {@link Replica#persisted} must follow once it is synced.
     *
     * @param number the number of the write
     * @param state the state
     */
    void persist(long number, DurableState state);

    /**
     * Tells that a state has been committed.
     *
     * @param entry its place
     * @param state the state
     */
    void committed(EntryId entry, GroupState state);
}
