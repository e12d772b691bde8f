/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.consensus;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.orchidmount.consensus.ReplicaMessage.VoteReply;
import org.orchidmount.consensus.ReplicaMessage.VoteRequest;

/**
 * Two replicas ask at the same moment whether they would be elected, and both are needed for a
 * quorum: one has to give way, or neither is elected.
 */
final class ReplicaTrialTest {
    private static final Timing TIMING = Timing.defaults();

    /** After this a replica that has just started has stood for its first election. */
    private static final long STOOD_NANOS = 3 * TIMING.firstElection().toNanos() + 1;

    private static final Member OWN = new Member("voter-5", "10.0.0.5:1", "10.0.0.5:2");
    private static final EntryId OWN_NEWEST = new EntryId(3, 9);

    private final List<ReplicaMessage> mSent = new ArrayList<>();

    @ParameterizedTest(name = "{0} with state {1}, {2} ms after the own trial: granted {3}")
    @CsvSource({
        "voter-1, 9, 1, true",
        "voter-9, 9, 1, false",
        "voter-9, 9, 699, false",
        "voter-9, 9, 701, true",
        "voter-9, 10, 1, true",
        "voter-1, 8, 1, false"
    })
    void theLowerIdentityGoesFirstUnlessTheOtherHoldsMore(
            String other, long newestIndex, long laterMillis, boolean granted) {
        Replica replica = standing();
        assertThat(replica.role()).isEqualTo(Replica.Role.TRIAL);
        EntryId newest = new EntryId(OWN_NEWEST.term(), newestIndex);
        VoteRequest request = new VoteRequest(replica.term() + 1, other, newest, true);
        Member sender = new Member(other, "10.0.0.1:1", "10.0.0.1:2");
        mSent.clear();
        long laterNanos = STOOD_NANOS + Duration.ofMillis(laterMillis).toNanos();
        replica.receive(request, sender, laterNanos);
        VoteReply reply = (VoteReply) mSent.getFirst();
        assertThat(reply.granted()).isEqualTo(granted);
        Replica.Role role = granted ? Replica.Role.FOLLOWER : Replica.Role.TRIAL;
        assertThat(replica.role()).isEqualTo(role);
    }

    /** Returns a voter of three that has just asked the others for pre-votes. */
    private Replica standing() {
        List<Member> members =
                List.of(
                        OWN,
                        new Member("voter-1", "10.0.0.1:1", "10.0.0.1:2"),
                        new Member("voter-9", "10.0.0.9:1", "10.0.0.9:2"));
        GroupState state = new GroupState(members, 7, new byte[] {7});
        DurableState durable = new DurableState(OWN.id(), 3, "", OWN_NEWEST, state);
        SplittableRandom random = new SplittableRandom(1);
        Replica replica =
                new Replica(OWN, durable, members.size(), TIMING, random, new Effects(), 0);
        replica.tick(STOOD_NANOS);
        return replica;
    }

    /** Keeps what is sent; nothing arrives anywhere. */
    private final class Effects implements ReplicaEffects {
        @Override
        public void send(Member to, ReplicaMessage message) {
            mSent.add(message);
        }

        @Override
        public void announce(ReplicaMessage message) {}

        @Override
        public void persist(long number, DurableState state) {}

        @Override
        public void committed(EntryId entry, GroupState state) {}
    }
}
