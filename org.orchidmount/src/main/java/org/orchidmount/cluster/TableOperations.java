/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.util.Arrays;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.orchidmount.consensus.GroupState;
import org.orchidmount.consensus.Member;
import org.orchidmount.consensus.Replica;
import org.orchidmount.internal.log.PartLog;

/**
 * Answers operators' changes and reads of the route table at one voter.
 *
 * <p>Invariants: only a leader answers by itself, any other voter names the leader if it knows one;
 * a change is answered as accepted once it is synced at a quorum, a read once a quorum has
 * confirmed that this voter still leads. Confined to the voter's thread.
 */
final class TableOperations {
    private static final PartLog LOG = PartLog.of("voter");

    private final Replica mReplica;
    private final Supplier<GroupState> mCommitted;

    /**
     * Creates the operations.
     *
     * @param replica agrees on the table
     * @param committed gives the newest state that is committed here
     */
    TableOperations(Replica replica, Supplier<GroupState> committed) {
        mReplica = replica;
        mCommitted = committed;
    }

    /**
     * Puts a table in force if its version is higher than that held.
     *
     * @param version its version
     * @param document the checked table
     * @param answer receives the answer, in time or not at all
     */
    void put(long version, byte[] document, Consumer<TableAnswer> answer) {
        if (mReplica.role() != Replica.Role.LEADER) {
            answer.accept(leader());
            return;
        }
        GroupState newest = mReplica.state();
        long held = newest.tableVersion();
        if (version > held) {
            LOG.info("table %d replaces %d", version, held);
            mReplica.propose(
                    newest.withTable(version, document),
                    committed -> answer.accept(accepted(committed, version)));
        } else if (version == held && !Arrays.equals(document, newest.tableDocument())) {
            answer.accept(new TableAnswer.Conflict(version));
        } else {
            mReplica.confirm(confirmed -> answer.accept(accepted(confirmed, held)));
        }
    }

    private static TableAnswer accepted(boolean certain, long version) {
        return certain ? new TableAnswer.Accepted(version) : new TableAnswer.Unavailable();
    }

    /**
     * Reads the newest table.
     *
     * @param answer receives the answer, in time or not at all
     */
    void read(Consumer<TableAnswer> answer) {
        if (mReplica.role() == Replica.Role.LEADER) {
            mReplica.confirm(confirmed -> answer.accept(current(confirmed)));
        } else {
            answer.accept(leader());
        }
    }

    private TableAnswer current(boolean confirmed) {
        GroupState committed = mCommitted.get();
        return confirmed
                ? new TableAnswer.Current(committed.tableVersion(), committed.tableDocument())
                : new TableAnswer.Unavailable();
    }

    private TableAnswer leader() {
        Optional<Member> leader = mReplica.isInTouch() ? mReplica.leader() : Optional.empty();
        return leader.map(Member::controlAddress)
                .<TableAnswer>map(TableAnswer.AskLeader::new)
                .orElseGet(TableAnswer.Unavailable::new);
    }
}
