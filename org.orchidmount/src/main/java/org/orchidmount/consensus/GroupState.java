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
 * The replicated state. Immutable; the bytes of the document must not be modified.
 *
 * @param members the voters
 * @param tableVersion the version of the route table, 0 if there is none
 * @param tableDocument the route table as submitted by the operator; empty if there is none
 */
public record GroupState(List<Member> members, long tableVersion, byte[] tableDocument) {
    /** Makes a defensive copy of the members. */
    public GroupState {
        members = List.copyOf(members);
    }

    /**
     * Returns a copy of this state with other voters.
     *
     * @param changed the new voters
     * @return the state
     */
    public GroupState withMembers(List<Member> changed) {
        return new GroupState(changed, tableVersion, tableDocument);
    }

    /**
     * Returns a copy of this state with another route table.
     *
     * @param version the version of the table
     * @param document the table as submitted by the operator
     * @return the state
     */
    public GroupState withTable(long version, byte[] document) {
        return new GroupState(members, version, document);
    }

    /**
     * Returns the voter with an identity.
     *
     * @param id the identity
     * @return the voter, or empty if no voter has that identity
     */
    public Optional<Member> member(String id) {
        return members.stream().filter(member -> member.id().equals(id)).findFirst();
    }

    /**
     * Returns the size of a quorum.
     *
     * @return the smallest number of voters that is a majority
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
