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
 * Decides the next change of the voters. Pure.
 *
 * <p>Invariants: one voter is added, removed or replaced at a time. A voter is replaced in one step
 * only by a replica at its own address: its identity went with its disk, so it never votes again. A
 * voter that is merely silent may come back, so its successor is added first and it is removed
 * next: were it removed first and the successor lost, the group would be left with too few disks.
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
     * Decides.
     *
     * @param waiting replicas that could become voters at once
     * @param gone tells whether a voter may be given up
     * @return the next voters, if they are to change
     */
    Optional<List<Member>> next(List<PeerProgress> waiting, Predicate<Member> gone) {
        for (PeerProgress peer : waiting) {
            Optional<Member> wiped = voterAt(peer.mMember.address());
            if (wiped.isPresent()) {
                return Optional.of(replaced(wiped.get(), peer.mMember));
            }
        }
        List<Member> members = new ArrayList<>(mState.members());
        Optional<Member> silent =
                members.stream()
                        .filter(member -> !member.id().equals(mSelf.id()))
                        .filter(gone)
                        .findFirst();
        if (members.size() > mTargetVoters) {
            silent.ifPresent(members::remove);
            return silent.map(_ -> members);
        }
        boolean grow = members.size() < mTargetVoters || silent.isPresent();
        if (!grow || waiting.isEmpty()) {
            return Optional.empty();
        }
        members.add(waiting.getFirst().mMember);
        return Optional.of(members);
    }

    private Optional<Member> voterAt(String address) {
        return mState.members().stream()
                .filter(member -> member.address().equals(address))
                .findFirst();
    }

    private List<Member> replaced(Member old, Member successor) {
        return mState.members().stream()
                .map(member -> member.equals(old) ? successor : member)
                .toList();
    }
}
