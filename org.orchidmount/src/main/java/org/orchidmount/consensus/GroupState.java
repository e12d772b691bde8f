/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.consensus;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * What the voters agree on. Immutable; the document's bytes are never changed.
 *
 * @param members the voters
 * @param tableVersion the version of the route table, 0 while there is none
 * @param tableDocument the route table as its operator sent it; empty while there is none
 */
public record GroupState(List<Member> members, long tableVersion, byte[] tableDocument) {
    /** Copies the list of members. */
    public GroupState {
        members = List.copyOf(members);
    }

    /**
     * Returns a state that differs in its members.
     *
     * @param changed the new voters
     * @return the state
     */
    public GroupState withMembers(List<Member> changed) {
        return new GroupState(changed, tableVersion, tableDocument);
    }

    /**
     * Returns a state that differs in its route table.
     *
     * @param version the table's version
     * @param document the table
     * @return the state
     */
    public GroupState withTable(long version, byte[] document) {
        return new GroupState(members, version, document);
    }

    /**
     * Finds a voter.
     *
     * @param id its identity
     * @return the voter, or nothing if it is none
     */
    public Optional<Member> member(String id) {
        return members.stream().filter(member -> member.id().equals(id)).findFirst();
    }

    /**
     * Returns how many voters make a quorum.
     *
     * @return more than half of them
     */
    public int quorum() {
        return members.size() / 2 + 1;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof GroupState that
                && members.equals(that.members)
                && tableVersion == that.tableVersion
                && Arrays.equals(tableDocument, that.tableDocument);
    }

    @Override
    public int hashCode() {
        return 31 * members.hashCode() + Long.hashCode(tableVersion);
    }

    @Override
    public String toString() {
        return "members " + members + ", table " + tableVersion;
    }
}
