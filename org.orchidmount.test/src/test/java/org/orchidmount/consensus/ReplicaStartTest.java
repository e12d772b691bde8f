/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.consensus;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * All processes of a group end at once and start again: callers are refused until a leader tells
 * which table is committed, so it must be elected well before an ordinary election would be held.
 */
final class ReplicaStartTest {
    private static final int VOTERS = 5;
    private static final long STEP_NANOS = Duration.ofMillis(1).toNanos();
    private static final long TICK_STEPS = 50;
    private static final long FULL_RESTART_STEPS = 500;

    private final List<Member> mMembers = new ArrayList<>();
    private final List<Replica> mReplicas = new ArrayList<>();
    private final Queue<Runnable> mInFlight = new ArrayDeque<>();
    private long mNowNanos;

    private void startAll(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        for (int i = 0; i < VOTERS; i++) {
            String address = "10.0.0." + i + ":1";
            mMembers.add(new Member("voter-" + i, address, address));
        }
        for (int i = 0; i < VOTERS; i++) {
            mReplicas.add(null);
            start(i, random.split());
        }
    }

    private void start(int index, SplittableRandom random) {
        Member self = mMembers.get(index);
        GroupState state = new GroupState(mMembers, 7, new byte[] {7});
        DurableState durable = new DurableState(self.id(), 3, "", new EntryId(3, 9), state);
        Effects effects = new Effects(index);
        mReplicas.set(
                index,
                new Replica(self, durable, VOTERS, Timing.defaults(), random, effects, mNowNanos));
    }

    /** Advances by a millisecond, in which what is in flight arrives. */
    private void step(long number) {
        mNowNanos += STEP_NANOS;
        for (int arriving = mInFlight.size(); arriving > 0; arriving--) {
            mInFlight.remove().run();
        }
        for (int i = 0; i < VOTERS; i++) {
            if ((number + i) % TICK_STEPS == 0) {
                mReplicas.get(i).tick(mNowNanos);
            }
        }
    }

    private boolean isLed() {
        return mReplicas.stream().anyMatch(Replica::holdsQuorum);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void aGroupThatLostAllProcessesHasALeaderSoon(long seed) {
        startAll(seed);
        long steps = 0;
        while (!isLed() && steps < 10 * FULL_RESTART_STEPS) {
            step(++steps);
        }
        assertThat(steps).isLessThan(FULL_RESTART_STEPS);
    }

    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13, 14, 15})
    void aReplicaThatStartsDoesNotDisturbALeader(long seed) {
        startAll(seed);
        long steps = 0;
        while (steps < 2 * FULL_RESTART_STEPS) {
            step(++steps);
        }
        Replica leader = mReplicas.stream().filter(Replica::holdsQuorum).findFirst().orElseThrow();
        long term = leader.term();
        int other = (mReplicas.indexOf(leader) + 1) % VOTERS;
        start(other, new SplittableRandom(seed));
        while (steps < 4 * FULL_RESTART_STEPS) {
            step(++steps);
        }
        assertThat(leader.holdsQuorum()).isTrue();
        assertThat(leader.term()).isEqualTo(term);
    }

    /** Delivers each message in the next step, and syncs each write in the next. */
    private final class Effects implements ReplicaEffects {
        private final int mIndex;

        Effects(int index) {
            mIndex = index;
        }

        @Override
        public void send(Member to, ReplicaMessage message) {
            Member from = mMembers.get(mIndex);
            int target = mMembers.indexOf(to);
            mInFlight.add(() -> mReplicas.get(target).receive(message, from, mNowNanos));
        }

        @Override
        public void announce(ReplicaMessage message) {
            for (Member member : mMembers) {
                if (!member.equals(mMembers.get(mIndex))) {
                    send(member, message);
                }
            }
        }

        @Override
        public void persist(long number, DurableState state) {
            Replica writer = mReplicas.get(mIndex);
            mInFlight.add(() -> writer.persisted(number, state.entry(), mNowNanos));
        }

        @Override
        public void committed(EntryId entry, GroupState state) {}
    }
}
