/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.consensus;

/** Network and disk operations of a replica. All calls are made on the replica's thread. */
public interface ReplicaEffects {
    /**
     * Sends a message without delivery guarantee.
     *
     * @param to the receiver
     * @param message the message
     */
    void send(Member to, ReplicaMessage message);

    /**
     * Sends a message to every known replica, voters and non-voters.
     *
     * @param message the message
     */
    void announce(ReplicaMessage message);

    /**
     * Writes a state to disk asynchronously. A later state may replace earlier ones that have not
     * been written yet. The implementation must call {@link Replica#persisted} after the sync.
     *
     * @param number the number of the write
     * @param state the state
     */
    void persist(long number, DurableState state);

    /**
     * Notifies of a committed state.
     *
     * @param entry the id of the committed entry
     * @param state the committed state
     */
    void committed(EntryId entry, GroupState state);
}
