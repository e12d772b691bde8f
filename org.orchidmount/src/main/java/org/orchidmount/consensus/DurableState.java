/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.consensus;

/**
 * The state that a replica persists. Immutable.
 *
 * @param self the replica's identity
 * @param term the highest term seen
 * @param votedFor the identity of the replica voted for in that term; empty if none
 * @param entry the id of the newest entry held
 * @param state the state of that entry
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
