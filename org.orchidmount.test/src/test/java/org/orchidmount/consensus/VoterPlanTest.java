/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.consensus;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests {@code VoterPlan}. */
final class VoterPlanTest {
    private static final Member SELF = member(0, "first");

    @Test
    void growsToItsTarget() {
        assertThat(plan(3).next(List.of(learner(9)), _ -> false).get())
                .contains(member(9, "waiting"));
    }

    @Test
    void staysAsItIsWithoutNeed() {
        assertThat(plan(5).next(List.of(learner(9)), _ -> false)).isEmpty();
        assertThat(plan(5).next(List.of(), _ -> true)).isEmpty();
    }

    @Test
    void replacesInOneStepOnlyWhoseDiskIsLost() {
        List<Member> next = plan(5).next(List.of(learner(2)), _ -> false).get();
        assertThat(next).hasSize(5);
        assertThat(next).contains(member(2, "waiting"));
        assertThat(next).doesNotContain(member(2, "first"));
    }

    @Test
    void addsTheSuccessorOfASilentVoterBeforeThatIsRemoved() {
        Predicate<Member> unresponsive = member -> member.equals(member(3, "first"));
        List<Member> grown = plan(5).next(List.of(learner(9)), unresponsive).get();
        assertThat(grown).hasSize(6);
        assertThat(grown).contains(member(9, "waiting"));
        List<Member> next = plan(6).next(List.of(), unresponsive).get();
        assertThat(next).hasSize(5);
        assertThat(next).doesNotContain(member(3, "first"));
        assertThat(plan(6).next(List.of(), _ -> false)).isEmpty();
        assertThat(plan(5).next(List.of(), unresponsive)).isEmpty();
    }

    @Test
    void neverRemovesItself() {
        assertThat(plan(5).next(List.of(learner(9)), member -> member.equals(SELF))).isEmpty();
    }

    private static VoterPlan plan(int voters) {
        List<Member> members =
                IntStream.range(0, voters).mapToObj(i -> member(i, "first")).toList();
        return new VoterPlan(new GroupState(members, 0, new byte[0]), 5, SELF);
    }

    private static Member member(int machine, String name) {
        String address = "10.0.0." + machine + ":1";
        return new Member(address + "/" + name, address, address);
    }

    private static PeerProgress learner(int machine) {
        PeerProgress peer = new PeerProgress();
        peer.mMember = member(machine, "waiting");
        return peer;
    }
}
