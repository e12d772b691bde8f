/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.consensus;

/**
 * What a replica keeps on its disk. Immutable.
 *
 * @param self the replica's identity
 * @param term the highest term seen
 * @param votedFor the identity voted for in that term; empty for none
 * @param entry the place of the state held
 * @param state the state held
 */
public record DurableState(
        String self, long term, String votedFor, EntryId entry, GroupState state) {
    DurableState withVote(long newTerm, String candidate) {
        return new DurableState(self, newTerm, candidate, entry, state);
    }

    DurableState withEntry(EntryId newEntry, GroupState newState) {
        return new DurableState(self, term, votedFor, newEntry, newState);
    }
}
