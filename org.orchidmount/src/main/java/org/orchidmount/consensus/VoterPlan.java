/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Computes the next membership change. Has no side effects.
 *
 * <p>Invariants: a change adds, removes or replaces a single voter. A voter is replaced in one step
 * only by a replica at the same address: the old identity was lost with its disk and can never vote
 * again. An unresponsive voter may come back, so its successor is added before it is removed: if it
 * were removed first and the successor failed, too few disks would hold the state.
 */
final class VoterPlan {
    private final GroupState mState;
    private final int mTargetVoters;
    private final Member mSelf;

    VoterPlan(GroupState state, int targetVoters, Member self) {
        mState = state;
        mTargetVoters = targetVoters;
        mSelf = self;
    }

    /**
     * Computes the next set of voters.
     *
     * @param learners live non-voters that hold the newest entry durably
     * @param unresponsive whether a voter is unresponsive and may be removed
     * @return the new voters, or empty if no change is due
     */
    Optional<List<Member>> next(List<PeerProgress> learners, Predicate<Member> unresponsive) {
        for (PeerProgress peer : learners) {
            Optional<Member> predecessor = voterAt(peer.mMember.address());
            if (predecessor.isPresent()) {
                return Optional.of(replaced(predecessor.get(), peer.mMember));
            }
        }
        List<Member> members = new ArrayList<>(mState.members());
        Optional<Member> unresponsiveVoter =
                members.stream()
                        .filter(member -> !member.id().equals(mSelf.id()))
                        .filter(unresponsive)
                        .findFirst();
        if (members.size() > mTargetVoters) {
            unresponsiveVoter.ifPresent(members::remove);
            return unresponsiveVoter.map(_ -> members);
        }
        boolean grow = members.size() < mTargetVoters || unresponsiveVoter.isPresent();
        if (!grow || learners.isEmpty()) {
            return Optional.empty();
        }
        members.add(learners.getFirst().mMember);
        return Optional.of(members);
    }

    private Optional<Member> voterAt(String address) {
        return mState.members().stream()
                .filter(member -> member.address().equals(address))
                .findFirst();
    }

    private List<Member> replaced(Member predecessor, Member successor) {
        return mState.members().stream()
                .map(member -> member.equals(predecessor) ? successor : member)
                .toList();
    }
}
