/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.quota;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * One key of a site under overload, with the real owner, reserves and histories of five voters, and
 * with faults: leaders change, entries are cut off from the leader or from all voters, voters are
 * cut off from each other and restart, and all of them at once. Time is simulated; a seed repeats a
 * schedule. Not thread-safe.
 */
final class SimulatedSite {
    static final Duration WINDOW = Duration.ofSeconds(8);
    static final double RATE_PER_SECOND = 20_000;
    static final double BURST = 60_000;
    private static final double SLACK = 30_000;

    /** What any window may hold, as the site states it. */
    static final double ALLOWED = 1.1 * (RATE_PER_SECOND * WINDOW.toSeconds() + BURST) + SLACK;

    private static final QuotaLimit LIMIT =
            new QuotaTolerance(WINDOW, 0.1, SLACK).limit(RATE_PER_SECOND, BURST);
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long SCHEDULE_NANOS = 30 * SECOND;
    private static final int LARGEST_REQUEST = 6_000;
    private static final int VOTERS = 5;

    /** A leader is replaced at the earliest this long after its last word to a quorum. */
    private static final long ELECTION_NANOS = SECOND * 7 / 10;

    /** After a start of all voters one leads this soon. */
    private static final long FIRST_ELECTION_NANOS = SECOND / 10;

    private final SplittableRandom mRandom;
    private final Fault mFault;
    private final List<Voter> mVoters = new ArrayList<>();
    private final long[] mCutFromLeaderUntil;
    private final long[] mCutFromAllUntil;
    private final WindowSum mRun = new WindowSum(WINDOW);
    private int mLeader;
    private int mFormerLeader;
    private long mTerm = 1;
    private long mNoLeaderUntil;
    private long mFormerLeadsUntil;
    private long mAsked;

    /** Ways in which the mechanism can be wrong. */
    enum Fault {
        /** As it is. */
        NONE,
        /** A leader goes on granting after its quorum is lost. */
        NO_LEASE,
        /** A new lease begins with a full bucket. */
        FULL_BUCKETS,
        /** A voter counts its reserve as if it were alone, and from its start on. */
        WHOLE_RESERVES
    }

    /** What one voter knows of the key. */
    private static final class Voter {
        private final QuotaOwner mOwner = new QuotaOwner();
        private final QuotaReserve mReserve;
        private final LeaseHistory mLeases;
        private long mBlindUntil;

        Voter(long lease, boolean isFirstStart, boolean keepsReserve, long nowNanos) {
            mReserve = new QuotaReserve(isFirstStart || !keepsReserve, nowNanos);
            mLeases = new LeaseHistory(lease, isFirstStart, nowNanos);
        }
    }

    SimulatedSite(long seed, int entries, Fault fault) {
        mRandom = new SplittableRandom(seed);
        mFault = fault;
        for (int i = 0; i < VOTERS; i++) {
            mVoters.add(new Voter(0, true, true, 0));
        }
        mCutFromLeaderUntil = new long[entries];
        mCutFromAllUntil = new long[entries];
    }

    /** Plays a schedule; returns the most units that any window held. */
    long play() {
        long nowNanos = 0;
        long faultNanos = 0;
        while (nowNanos < SCHEDULE_NANOS) {
            nowNanos += 1 + mRandom.nextLong(SECOND / 20);
            if (nowNanos > faultNanos) {
                strike(nowNanos);
                faultNanos = nowNanos + mRandom.nextLong(3 * SECOND);
            }
            request(skewed(), 1 + mRandom.nextInt(LARGEST_REQUEST), nowNanos);
        }
        return mRun.most();
    }

    /** Most requests come to few entries. */
    private int skewed() {
        double drawn = mRandom.nextDouble();
        return (int) (drawn * drawn * drawn * mCutFromAllUntil.length);
    }

    private void request(int entry, int units, long nowNanos) {
        mAsked += units;
        if (mCutFromAllUntil[entry] > nowNanos) {
            return;
        }
        QuotaRequest request = new QuotaRequest("a", LIMIT, 1, units);
        boolean reaches = mCutFromLeaderUntil[entry] <= nowNanos && mNoLeaderUntil <= nowNanos;
        boolean isTaken =
                reaches ? askLeader(request, nowNanos) : askWithoutLease(entry, request, nowNanos);
        if (isTaken) {
            mRun.add(units, nowNanos);
        }
    }

    private boolean askLeader(QuotaRequest request, long nowNanos) {
        Voter leader = mVoters.get(mLeader);
        leader.mLeases.observe(mTerm, nowNanos);
        boolean isFull = mFault == Fault.FULL_BUCKETS;
        long previousLeaseNanos = isFull ? -SCHEDULE_NANOS : leader.mLeases.previousLeaseNanos();
        leader.mOwner.hold(mTerm, previousLeaseNanos, isFull ? -SCHEDULE_NANOS / 3 : nowNanos);
        return leader.mOwner.ask(request, nowNanos).isGranted();
    }

    private boolean askWithoutLease(int entry, QuotaRequest request, long nowNanos) {
        boolean formerAnswers = mFault == Fault.NO_LEASE && mFormerLeadsUntil > nowNanos;
        if (formerAnswers) {
            return mVoters.get(mFormerLeader).mOwner.ask(request, nowNanos).isGranted();
        }
        int asked = entry % VOTERS;
        boolean isLeader = asked == mLeader && mNoLeaderUntil <= nowNanos;
        Voter voter = mVoters.get(isLeader ? (asked + 1) % VOTERS : asked);
        int counted = mFault == Fault.WHOLE_RESERVES ? 1 : VOTERS;
        return voter.mReserve.ask(request, counted, nowNanos).isGranted();
    }

    private void strike(long nowNanos) {
        long untilNanos = nowNanos + SECOND / 2 + mRandom.nextLong(6 * SECOND);
        switch (mRandom.nextInt(6)) {
            case 0 -> changeLeader(nowNanos, ELECTION_NANOS + mRandom.nextLong(2 * SECOND));
            case 1 -> cut(mCutFromLeaderUntil, mRandom.nextDouble(), untilNanos);
            case 2 -> cut(mCutFromAllUntil, mRandom.nextDouble(), untilNanos);
            case 3 -> {
                mVoters.get(mRandom.nextInt(VOTERS)).mBlindUntil = untilNanos;
                changeLeader(nowNanos, ELECTION_NANOS);
            }
            case 4 -> {
                restart(mRandom.nextInt(VOTERS), nowNanos);
                changeLeader(nowNanos, ELECTION_NANOS);
            }
            default -> restartAll(nowNanos);
        }
    }

    private void changeLeader(long nowNanos, long withoutNanos) {
        mFormerLeader = mLeader;
        mFormerLeadsUntil = nowNanos + 6 * SECOND;
        mTerm++;
        mNoLeaderUntil = nowNanos + withoutNanos;
        mLeader = sighted(nowNanos);
        for (Voter voter : mVoters) {
            if (voter.mBlindUntil <= nowNanos) {
                voter.mLeases.observe(mTerm, mNoLeaderUntil);
            }
        }
    }

    private int sighted(long nowNanos) {
        int drawn = mRandom.nextInt(VOTERS);
        while (mVoters.get(drawn).mBlindUntil > nowNanos) {
            drawn = (drawn + 1) % VOTERS;
        }
        return drawn;
    }

    private static void cut(long[] cutUntil, double share, long untilNanos) {
        int cut = (int) (share * cutUntil.length);
        for (int i = 0; i < cut; i++) {
            cutUntil[i] = untilNanos;
        }
    }

    private void restart(int voter, long nowNanos) {
        boolean keepsReserve = mFault != Fault.WHOLE_RESERVES;
        mVoters.set(voter, new Voter(mTerm, false, keepsReserve, nowNanos));
    }

    private void restartAll(long nowNanos) {
        for (int i = 0; i < VOTERS; i++) {
            restart(i, nowNanos);
        }
        changeLeader(nowNanos, FIRST_ELECTION_NANOS);
    }

    /** Returns how often the limit was asked for, so that a check of nothing is noticed. */
    double overload() {
        double seconds = (double) SCHEDULE_NANOS / SECOND;
        return mAsked / (seconds * RATE_PER_SECOND);
    }
}
