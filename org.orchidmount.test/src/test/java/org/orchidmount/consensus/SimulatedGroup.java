/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.consensus;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * A group of replicas under a simulated clock, network and disks, with faults drawn from a seed.
 *
 * <p>Messages are lost, delayed and overtaken; replicas crash, lose what is not synced, or lose
 * their whole disk and come back under another identity; links are cut; machines are suspended, if
 * that is asked for. After each event the promises of the group are checked.
 */
final class SimulatedGroup {
    private static final long MILLI = 1_000_000;
    private static final int TARGET_VOTERS = 5;
    private static final int MACHINES = 6;
    private static final long END = 40_000 * MILLI;
    private static final long HEAL_AT = 30_000 * MILLI;
    private static final long CATCH_UP = 4_000 * MILLI;
    private static final int LOSSES_BORNE = 2;

    /** A leader gives orders once the lease of every leader before must be out. */
    private static final long ORDERS_AFTER = 3_700 * MILLI;

    private static final long SHORTEST_SUSPENSION = 500 * MILLI;
    private static final int LONGEST_SUSPENSION_MILLIS = 9_000;

    private final SplittableRandom mRandom;
    private final SplittableRandom mSuspensionRandom;
    private final Suspensions mSuspensions;
    private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
    private final List<Machine> mMachines = new ArrayList<>();
    private final Map<Long, String> mLeaderByTerm = new HashMap<>();
    private final TreeMap<EntryId, GroupState> mCommitted = new TreeMap<>();
    private final boolean[][] mCut = new boolean[MACHINES][MACHINES];
    private long mNow;
    private long mNumber;
    private long mVersion;
    private long mAccepted;
    private int mIdentities;
    private int mConfirmedReads;

    /** Whether machines are suspended, and what their clocks make of it. */
    enum Suspensions {
        /** None is. */
        NONE,
        /** The clock counts the time. */
        COUNTED,
        /** The clock stands still meanwhile, as a steady clock does. */
        UNCOUNTED
    }

    private record Event(long at, long number, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int order = Long.compare(at, other.at);
            return order != 0 ? order : Long.compare(number, other.number);
        }
    }

    /** A machine with a disk and, while it runs, a replica. */
    private final class Machine implements ReplicaEffects {
        private final int mIndex;
        private DurableState mDisk;
        private Replica mReplica;
        private int mLife;
        private long mLostUntil;

        /** Links take a while to be made; what is sent before is lost. */
        private long mLinkedAt;

        private EntryId mNewestCommitted = EntryId.NONE;

        private long mSuspendedUntil;
        private long mUncounted;
        private long mHeldTerm = -1;
        private long mHeldSince;

        Machine(int index) {
            mIndex = index;
        }

        Member member() {
            String address = "10.0.0." + mIndex + ":1";
            return new Member(mDisk.self(), address, address);
        }

        boolean isSuspended() {
            return mNow < mSuspendedUntil;
        }

        /** Returns the time by the machine's own clock. */
        long now() {
            return mNow - mUncounted;
        }

        /** What is due meanwhile happens when it wakes up. */
        void suspend(long time) {
            mSuspendedUntil = mNow + time;
            mLostUntil = Math.max(mLostUntil, mSuspendedUntil + CATCH_UP);
            after(time, () -> wake(time));
        }

        private void wake(long time) {
            if (mSuspensions == Suspensions.UNCOUNTED) {
                mUncounted += time;
            }
            if (mReplica != null) {
                mReplica.tick(now());
            }
        }

        /** Does something once the machine runs. */
        private void whenAwake(Runnable action) {
            if (isSuspended()) {
                after(mSuspendedUntil - mNow, () -> whenAwake(action));
            } else {
                action.run();
            }
        }

        /** Tells whether it may give orders: it has led a quorum for long enough. */
        boolean mayOrder() {
            if (isSuspended()) {
                return false;
            }
            boolean holds = mReplica != null && mReplica.holdsQuorum();
            long term = holds ? mReplica.term() : -1;
            if (term != mHeldTerm) {
                mHeldTerm = term;
                mHeldSince = mNow;
            }
            return holds && mNow - mHeldSince > ORDERS_AFTER;
        }

        void start() {
            mLife++;
            mLinkedAt = mNow + (50 + mRandom.nextLong(300)) * MILLI;
            mNewestCommitted = EntryId.NONE;
            if (mDisk == null) {
                mDisk =
                        new DurableState(
                                "wiped-" + mIdentities++,
                                0,
                                "",
                                EntryId.NONE,
                                new GroupState(List.of(), 0, new byte[0]));
            }
            mReplica =
                    new Replica(
                            member(),
                            mDisk,
                            TARGET_VOTERS,
                            Timing.defaults(),
                            mRandom.split(),
                            this,
                            now());
            tick(mLife);
        }

        private void tick(int life) {
            if (life == mLife && mReplica != null) {
                mReplica.tick(now());
                after(50 * MILLI, () -> whenAwake(() -> tick(life)));
            }
        }

        void crash(boolean wiped) {
            mLife++;
            mReplica = null;
            if (wiped) {
                mDisk = null;
            }
        }

        boolean isLost() {
            return mReplica == null || mNow < mLostUntil;
        }

        @Override
        public void send(Member to, ReplicaMessage message) {
            Member from = member();
            for (Machine machine : mMachines) {
                boolean addressed = machine.address().equals(to.address());
                boolean linked = mNow >= mLinkedAt && mNow >= machine.mLinkedAt;
                if (addressed && linked && !mCut[mIndex][machine.mIndex] && !isDropped()) {
                    long delay = (1 + mRandom.nextLong(mRandom.nextInt(20) == 0 ? 300 : 5)) * MILLI;
                    after(delay, () -> machine.whenAwake(() -> machine.receive(message, from)));
                }
            }
        }

        private boolean isDropped() {
            return mNow < HEAL_AT && mRandom.nextInt(50) == 0;
        }

        String address() {
            return "10.0.0." + mIndex + ":1";
        }

        private void receive(ReplicaMessage message, Member from) {
            if (mReplica != null) {
                mReplica.receive(message, from, now());
            }
        }

        @Override
        public void announce(ReplicaMessage message) {
            for (Machine machine : mMachines) {
                if (machine != this) {
                    send(new Member("", machine.address(), ""), message);
                }
            }
        }

        @Override
        public void persist(long number, DurableState state) {
            int life = mLife;
            long delay = (1 + mRandom.nextLong(mRandom.nextInt(40) == 0 ? 1_500 : 4)) * MILLI;
            after(delay, () -> whenAwake(() -> synced(life, number, state)));
        }

        private void synced(int life, long number, DurableState state) {
            if (life == mLife && number > mSyncedNumber(life)) {
                mDisk = state;
                mSynced = number;
                mSyncedLife = life;
                mReplica.persisted(number, state.entry(), now());
            }
        }

        private long mSynced;
        private int mSyncedLife;

        private long mSyncedNumber(int life) {
            return mSyncedLife == life ? mSynced : 0;
        }

        @Override
        public void committed(EntryId entry, GroupState state) {
            check(entry.isAtLeast(mNewestCommitted), "a replica's committed state went back");
            mNewestCommitted = entry;
            GroupState known = mCommitted.put(entry, state);
            check(known == null || known.equals(state), "two states are committed at " + entry);
            Map.Entry<EntryId, GroupState> before = mCommitted.lowerEntry(entry);
            Map.Entry<EntryId, GroupState> after = mCommitted.higherEntry(entry);
            check(
                    before == null || before.getValue().tableVersion() <= state.tableVersion(),
                    "a committed table was lost at " + entry);
            check(
                    after == null || after.getValue().tableVersion() >= state.tableVersion(),
                    "a committed table was lost after " + entry);
        }
    }

    SimulatedGroup(long seed) {
        this(seed, Suspensions.NONE);
    }

    SimulatedGroup(long seed, Suspensions suspensions) {
        mRandom = new SplittableRandom(seed);
        mSuspensionRandom = new SplittableRandom(~seed);
        mSuspensions = suspensions;
        List<Member> founders = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            String address = "10.0.0." + i + ":1";
            founders.add(new Member(address + "/first", address, address));
        }
        for (int i = 0; i < MACHINES; i++) {
            Machine machine = new Machine(i);
            if (i < 3) {
                GroupState state = new GroupState(founders, 0, new byte[0]);
                machine.mDisk =
                        new DurableState(founders.get(i).id(), 0, "", new EntryId(0, 1), state);
            }
            mMachines.add(machine);
        }
        mMachines.forEach(Machine::start);
        after(500 * MILLI, this::change);
        after(8_000 * MILLI, this::fault);
        if (suspensions != Suspensions.NONE) {
            after(8_000 * MILLI, this::suspendOne);
        }
    }

    /** Runs to the end; returns how many reads were confirmed. */
    int run() {
        while (mNow < END) {
            Event event = mEvents.poll();
            mNow = event.at();
            event.action().run();
            check(
                    mMachines.stream().filter(Machine::mayOrder).count() <= 1,
                    "two leaders may give orders");
            for (Machine machine : mMachines) {
                if (machine.mReplica != null && machine.mReplica.role() == Replica.Role.LEADER) {
                    String leader =
                            mLeaderByTerm.putIfAbsent(
                                    machine.mReplica.term(), machine.mDisk.self());
                    check(
                            leader == null || leader.equals(machine.mDisk.self()),
                            "two leaders in term " + machine.mReplica.term());
                }
            }
        }
        check(mAccepted > 0, "no change was ever accepted");
        check(mConfirmedReads > 0, "no read was ever confirmed");
        List<Member> voters = mCommitted.lastEntry().getValue().members();
        check(voters.size() >= TARGET_VOTERS, "the group has not grown back: " + voters);
        List<String> alive = mMachines.stream().map(machine -> machine.mDisk.self()).toList();
        check(
                voters.stream().allMatch(voter -> alive.contains(voter.id())),
                "a voter whose disk was lost is still counted: " + voters + ", alive " + alive);
        return mConfirmedReads;
    }

    private void after(long delay, Runnable action) {
        mEvents.add(new Event(mNow + delay, mNumber++, action));
    }

    private void change() {
        long version = ++mVersion;
        for (Machine machine : mMachines) {
            Replica replica = machine.mReplica;
            boolean leads = replica != null && replica.role() == Replica.Role.LEADER;
            if (!leads || machine.isSuspended()) {
                continue;
            }
            GroupState newest = replica.state();
            if (version > newest.tableVersion() && mRandom.nextBoolean()) {
                replica.propose(
                        newest.withTable(version, new byte[] {(byte) version}),
                        accepted -> mAccepted = Math.max(mAccepted, accepted ? version : 0));
            } else {
                long acceptedBefore = mAccepted;
                replica.confirmRead(confirmed -> read(machine, confirmed, acceptedBefore));
            }
        }
        after((50 + mRandom.nextLong(400)) * MILLI, this::change);
    }

    private void read(Machine machine, boolean confirmed, long acceptedBefore) {
        if (confirmed) {
            mConfirmedReads++;
            GroupState read = mCommitted.get(machine.mNewestCommitted);
            check(
                    read.tableVersion() >= acceptedBefore,
                    "a read showed " + read.tableVersion() + ", accepted was " + acceptedBefore);
        }
    }

    private void fault() {
        if (mNow >= HEAL_AT) {
            heal();
            return;
        }
        int lost = (int) mMachines.stream().filter(Machine::isLost).count();
        Machine victim = mMachines.get(mRandom.nextInt(MACHINES));
        switch (mRandom.nextInt(5)) {
            case 0 -> cut(victim);
            case 1 -> restartAll();
            default -> {
                if (lost < LOSSES_BORNE && !victim.isLost()) {
                    lose(victim, mRandom.nextInt(3) != 0);
                }
            }
        }
        after((200 + mRandom.nextLong(2_500)) * MILLI, this::fault);
    }

    /** Leaders most of all, since it is their promises that grow old. */
    private void suspendOne() {
        if (mNow >= HEAL_AT) {
            return;
        }
        int lost = (int) mMachines.stream().filter(Machine::isLost).count();
        Machine victim =
                mMachines.stream()
                        .filter(machine -> machine.mReplica != null)
                        .filter(machine -> machine.mReplica.role() == Replica.Role.LEADER)
                        .findFirst()
                        .orElse(mMachines.get(mSuspensionRandom.nextInt(MACHINES)));
        if (lost < LOSSES_BORNE && !victim.isLost()) {
            int millis = mSuspensionRandom.nextInt(LONGEST_SUSPENSION_MILLIS);
            victim.suspend(SHORTEST_SUSPENSION + millis * MILLI);
        }
        after((500 + mSuspensionRandom.nextLong(3_000)) * MILLI, this::suspendOne);
    }

    private void lose(Machine victim, boolean wiped) {
        victim.crash(wiped);
        long down = (100 + mRandom.nextLong(3_000)) * MILLI;
        victim.mLostUntil = mNow + down + CATCH_UP;
        after(
                down,
                () -> {
                    if (victim.mReplica == null) {
                        victim.start();
                    }
                });
    }

    /** All processes end and start again; their disks are kept. */
    private void restartAll() {
        for (Machine machine : mMachines) {
            if (machine.mReplica != null) {
                machine.crash(false);
                after(
                        (10 + mRandom.nextLong(900)) * MILLI,
                        () -> {
                            if (machine.mReplica == null) {
                                machine.start();
                            }
                        });
            }
        }
    }

    private void cut(Machine victim) {
        boolean oneWay = mRandom.nextInt(3) == 0;
        for (int other = 0; other < MACHINES; other++) {
            mCut[victim.mIndex][other] = true;
            mCut[other][victim.mIndex] = !oneWay;
        }
        victim.mLostUntil = Math.max(victim.mLostUntil, mNow + 3_000 * MILLI + CATCH_UP);
        after(3_000 * MILLI, () -> join(victim));
    }

    private void join(Machine victim) {
        for (int other = 0; other < MACHINES; other++) {
            mCut[victim.mIndex][other] = false;
            mCut[other][victim.mIndex] = false;
        }
    }

    private void heal() {
        mMachines.forEach(this::join);
        for (Machine machine : mMachines) {
            if (machine.mReplica == null) {
                machine.start();
            }
        }
    }

    private static void check(boolean holds, String promise) {
        if (!holds) {
            throw new AssertionError(promise);
        }
    }
}
