/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.pacing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.orchidmount.junit.ManualClock;
import org.orchidmount.membership.Incarnation;
import org.orchidmount.quota.QuotaAnswer;
import org.orchidmount.quota.QuotaLimit;
import org.orchidmount.quota.QuotaOwner;
import org.orchidmount.quota.QuotaOwnerClient;
import org.orchidmount.quota.QuotaRequest;
import org.orchidmount.quota.QuotaWay;
import org.orchidmount.quota.SharedQuota;
import org.orchidmount.quota.WindowSum;

/**
 * One upstream that names a limit, before many entries with more requests than it takes, in
 * simulated time: the product's own way, and others beside it. Leaders change, entries are cut off
 * from the leader or from all voters, and start again. A seed repeats a schedule. Not thread-safe.
 */
final class SimulatedUpstream {
    static final Duration WINDOW = Duration.ofSeconds(4);

    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long SCHEDULE_NANOS = 30 * SECOND;
    private static final Incarnation UPSTREAM = Incarnation.startedAt("i-1", 1);
    private static final Duration TARGET = Duration.ofMillis(400);

    /** A leader is replaced at the earliest this long after its last word to a quorum. */
    private static final long ELECTION_NANOS = SECOND * 7 / 10;

    private final ManualClock mClock = new ManualClock();
    private final SplittableRandom mRandom;
    private final Plan mPlan;
    private final List<UpstreamThrottle> mEntries = new ArrayList<>();
    private final long[] mCutFromLeaderUntil;
    private final WindowSum mArrived = new WindowSum(WINDOW);
    private final List<QuotaOwner> mOwnBuckets = new ArrayList<>();
    private final QuotaLimit mLimit;
    private final QuotaWay mShares;
    private QuotaOwner mLeader = new QuotaOwner();
    private QuotaOwner mFormerLeader = new QuotaOwner();
    private long mTerm = 1;
    private long mNoLeaderUntil;
    private long mSent;
    private long mMessages;

    /** Who counts what the upstream gets. */
    enum Way {
        /** The product: one owner, and an equal part without one. */
        OWNER,
        /** Each entry has an equal part of the limit. */
        EQUAL,
        /** Each entry has the part that its demand had of all in the last second. */
        DEMAND,
        /** Each entry keeps to the whole limit. */
        EACH
    }

    /** Ways in which the product could be wrong. */
    enum Defect {
        NONE,
        /** A leader goes on granting after its quorum is lost. */
        NO_LEASE,
        /** Without an owner each entry keeps to the whole limit. */
        WHOLE_ALONE
    }

    /**
     * What is played.
     *
     * @param way who counts
     * @param defect what is wrong
     * @param perSecond what the upstream takes
     * @param entries how many entries there are
     * @param load requests that come for each that the upstream takes
     * @param hasFaults whether leaders change and links are cut
     */
    record Plan(
            Way way, Defect defect, double perSecond, int entries, double load, boolean hasFaults) {
        /** One that takes nothing gets a request now and then. */
        private double counted() {
            return Math.max(0.2, perSecond);
        }
    }

    /**
     * What came of it.
     *
     * @param most the most requests that a window held
     * @param usedShare the share of what the upstream takes that it got
     * @param messagesPerSecond messages between instances
     */
    record Outcome(long most, double usedShare, double messagesPerSecond) {}

    SimulatedUpstream(Plan plan, long seed) {
        mPlan = plan;
        mRandom = new SplittableRandom(seed);
        mCutFromLeaderUntil = new long[plan.entries()];
        for (int i = 0; i < plan.entries(); i++) {
            mEntries.add(newEntry(i));
            mOwnBuckets.add(new QuotaOwner());
        }
        mLimit = new QuotaLimit(plan.counted(), 1 + plan.counted() / 4, 0, WINDOW);
        mShares = new QuotaWay.Shares(mLimit, plan.entries(), plan.way() == Way.DEMAND);
        mLeader.hold(mTerm, 0, 0);
    }

    /** An entry knows the limit from its start on, as voters tell it. */
    private UpstreamThrottle newEntry(int index) {
        UpstreamLimits limits = new UpstreamLimits("entry-" + index, mClock);
        OptionalDouble perSecond = OptionalDouble.of(mPlan.perSecond());
        limits.merge(List.of(new UpstreamLimit(UPSTREAM, perSecond, 1, "first")));
        boolean isAlone = mPlan.defect() == Defect.WHOLE_ALONE;
        return new UpstreamThrottle(
                limits,
                limit -> {},
                new SharedQuota(new Client(index)),
                () -> isAlone ? 1 : mPlan.entries(),
                mRandom.split(),
                mClock);
    }

    /** Reaches the leader unless it is cut off or there is none. */
    private final class Client implements QuotaOwnerClient {
        private final int mEntry;

        Client(int entry) {
            mEntry = entry;
        }

        @Override
        public CompletableFuture<QuotaAnswer> requestUnits(QuotaRequest request) {
            mMessages += 2;
            return CompletableFuture.completedFuture(answer(request));
        }

        private QuotaAnswer answer(QuotaRequest request) {
            long nowNanos = mClock.nanoTime();
            boolean isReached =
                    mCutFromLeaderUntil[mEntry] <= nowNanos && mNoLeaderUntil <= nowNanos;
            if (isReached) {
                return mLeader.ask(request, nowNanos);
            }
            return mPlan.defect() == Defect.NO_LEASE
                    ? mFormerLeader.ask(request, nowNanos)
                    : QuotaAnswer.NO_OWNER;
        }

        @Override
        public void refund(String key, long units) {}
    }

    /** Plays a schedule. */
    Outcome play() throws InterruptedException {
        long faultNanos = 0;
        double meanPauseNanos = SECOND / (mPlan.load() * mPlan.counted());
        while (mClock.nanoTime() < SCHEDULE_NANOS) {
            mClock.advance(
                    Duration.ofNanos(1 + (long) (2 * meanPauseNanos * mRandom.nextDouble())));
            if (mPlan.hasFaults() && mClock.nanoTime() > faultNanos) {
                strike();
                faultNanos = mClock.nanoTime() + mRandom.nextLong(3 * SECOND);
            }
            request(skewed());
        }
        double seconds = (double) SCHEDULE_NANOS / SECOND;
        return new Outcome(
                mArrived.most(), mSent / (seconds * mPlan.counted()), messages() / seconds);
    }

    private long messages() {
        return mMessages + mShares.messages();
    }

    /** Most requests come to few entries, and halfway to others. */
    private int skewed() {
        double drawn = mRandom.nextDouble();
        int entry = (int) (drawn * drawn * mPlan.entries());
        boolean hasMoved = mClock.nanoTime() > SCHEDULE_NANOS / 2;
        return hasMoved ? mPlan.entries() - 1 - entry : entry;
    }

    private void request(int entry) throws InterruptedException {
        if (mayBeSent(entry)) {
            mSent++;
            mArrived.add(1, mClock.nanoTime());
        }
    }

    private boolean mayBeSent(int entry) throws InterruptedException {
        long nowNanos = mClock.nanoTime();
        return switch (mPlan.way()) {
            case OWNER -> mEntries.get(entry).acquire(UPSTREAM, TARGET).isGranted();
            case EACH ->
                    mOwnBuckets
                            .get(entry)
                            .ask(new QuotaRequest("u", mLimit, 1, 1), nowNanos)
                            .isGranted();
            default -> mShares.take(entry, 1, nowNanos);
        };
    }

    private void strike() {
        long nowNanos = mClock.nanoTime();
        switch (mRandom.nextInt(4)) {
            case 0 -> changeLeader(ELECTION_NANOS + mRandom.nextLong(2 * SECOND));
            case 1 -> changeLeader(ELECTION_NANOS);
            case 2 -> {
                int cut = (int) (mRandom.nextDouble() * mPlan.entries());
                for (int i = 0; i < cut; i++) {
                    mCutFromLeaderUntil[i] = nowNanos + mRandom.nextLong(6 * SECOND);
                }
            }
            default -> {
                int index = mRandom.nextInt(mPlan.entries());
                mEntries.set(index, newEntry(index));
            }
        }
    }

    /** The new one knows nothing of what the one before granted. */
    private void changeLeader(long withoutNanos) {
        mTerm++;
        mNoLeaderUntil = mClock.nanoTime() + withoutNanos;
        mFormerLeader = mLeader;
        mLeader = new QuotaOwner();
        mLeader.hold(mTerm, mNoLeaderUntil, mNoLeaderUntil);
    }
}
