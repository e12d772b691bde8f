/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.retry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.orchidmount.junit.ManualClock;
import org.orchidmount.limits.WindowRetryBudget;

/**
 * The entries of a site that send as many retries as they may, with the real owner at its voters,
 * and faults at set times. Requests of an entry that is down go to the others. Each permit is used
 * as late as it may be, or at once. Time is simulated; a seed repeats a run. Not thread-safe.
 */
final class SimulatedRetrySite {
    static final RetryLimit LIMIT = new RetryLimit(0.2, Duration.ofSeconds(10), 56);
    static final Duration STEP = Duration.ofMillis(50);
    private static final int WINDOW_STEPS = (int) LIMIT.window().dividedBy(STEP);
    private static final int PERMIT_STEPS = (int) RetryLimit.PERMIT_LIFETIME.dividedBy(STEP) - 1;
    private static final int REPORT_STEPS = 3;
    private static final int ELECTION_STEPS = 14;
    private static final int CUT_STEPS = 60;
    private static final int DOWN_STEPS = 20;

    private final ManualClock mClock = new ManualClock();
    private final SplittableRandom mRandom;
    private final Way mWay;
    private final double mRequestsPerStep;
    private final List<Entry> mEntries = new ArrayList<>();
    private final int[] mRequests;
    private final int[] mRetries;
    private RetryOwner mOwner = new RetryOwner();
    private long mLease = 1;
    private int mOwnerFromStep;
    private int mStep;
    private int mTurn;

    /** How the limit is kept. */
    enum Way {
        /** As it is. */
        OWNER,
        /** An owner that grants the slack at once under each lease. */
        SLACK_AT_ONCE,
        /** Each entry keeps to its share of the entries that are up, and forgets it with a kill. */
        SHARES,
        /** The same, but the number of entries is always known. */
        FIXED_SHARES
    }

    /** What happens to the site. */
    enum Fault {
        NONE,
        ENTRY_KILLED,
        ENTRY_LOST,
        ALL_ENTRIES_KILLED,
        LEADER_KILLED,
        ALL_KILLED,
        HALF_CUT_OFF,
        ENTRY_JOINS
    }

    /** One entry. */
    private final class Entry {
        private RetryBudgets mBudgets;
        private WindowRetryBudget mShare;
        private int mUpFromStep;
        private int mCutUntilStep;

        Entry() {
            start();
        }

        private void start() {
            mBudgets = new RetryBudgets(LIMIT, this::ask, () -> 1, mClock);
            mShare =
                    new WindowRetryBudget(
                            new WindowRetryBudget.Limit(
                                    LIMIT.ratio(), LIMIT.window(), LIMIT.slack()),
                            SimulatedRetrySite.this::sharingEntries,
                            mClock);
        }

        void kill(int downSteps) {
            start();
            mUpFromStep = mStep + downSteps;
        }

        boolean isUp() {
            return mStep >= mUpFromStep;
        }

        private CompletableFuture<RetryAnswer> ask(RetryRequest request) {
            return CompletableFuture.completedFuture(answer(request));
        }

        private RetryAnswer answer(RetryRequest request) {
            if (mStep < mOwnerFromStep || mStep < mCutUntilStep) {
                return RetryAnswer.NO_OWNER;
            }
            boolean isFirst = mLease == 1 || mWay == Way.SLACK_AT_ONCE;
            mOwner.hold(mLease, isFirst, mClock.nanoTime());
            RetryOwner.Entries all = new RetryOwner.Entries(mEntries.size(), mEntries.size());
            return mOwner.ask(request, all, mClock.nanoTime());
        }

        void request(int requests) {
            for (int i = 0; i < requests; i++) {
                mBudgets.of("s").recordRequest();
                mShare.recordRequest();
            }
        }

        void report() {
            if (mStep >= mOwnerFromStep && mStep >= mCutUntilStep) {
                answer(mBudgets.report("s"));
            }
        }

        boolean tryRetry() throws InterruptedException {
            return mWay == Way.SHARES || mWay == Way.FIXED_SHARES
                    ? mShare.tryAcquire()
                    : mBudgets.of("s").tryAcquire(1).isPresent();
        }
    }

    SimulatedRetrySite(Way way, int entries, double requestsPerSecond, int steps, long seed) {
        mWay = way;
        mRandom = new SplittableRandom(seed);
        mRequestsPerStep = requestsPerSecond * STEP.toMillis() / 1_000;
        mRequests = new int[steps];
        mRetries = new int[steps + PERMIT_STEPS + 1];
        for (int i = 0; i < entries; i++) {
            mEntries.add(new Entry());
        }
    }

    private int sharingEntries() {
        return mWay == Way.FIXED_SHARES
                ? mEntries.size()
                : (int) Math.max(1, mEntries.stream().filter(Entry::isUp).count());
    }

    /** Runs to the end, with faults in equal distances from the first window on. */
    SimulatedRetrySite run(List<Fault> faults) throws InterruptedException {
        int distance = (mRequests.length - WINDOW_STEPS) / Math.max(1, faults.size());
        for (mStep = 0; mStep < mRequests.length; mStep++) {
            int sinceFirst = mStep - WINDOW_STEPS;
            if (sinceFirst >= 0
                    && sinceFirst % distance == 0
                    && sinceFirst / distance < faults.size()) {
                strike(faults.get(sinceFirst / distance));
            }
            step();
            mClock.advance(STEP);
        }
        return this;
    }

    private void strike(Fault fault) {
        switch (fault) {
            case ENTRY_KILLED -> mEntries.get(mTurn++ % mEntries.size()).kill(1);
            case ENTRY_LOST -> mEntries.get(mTurn++ % mEntries.size()).kill(mRequests.length);
            case ALL_ENTRIES_KILLED -> mEntries.forEach(entry -> entry.kill(DOWN_STEPS));
            case LEADER_KILLED -> replaceLeader();
            case ALL_KILLED -> {
                mEntries.forEach(entry -> entry.kill(1));
                replaceLeader();
            }
            case HALF_CUT_OFF ->
                    mEntries.subList(0, mEntries.size() / 2)
                            .forEach(entry -> entry.mCutUntilStep = mStep + CUT_STEPS);
            case ENTRY_JOINS -> mEntries.add(new Entry());
            default -> {}
        }
    }

    private void replaceLeader() {
        mOwner = new RetryOwner();
        mLease++;
        mOwnerFromStep = mStep + ELECTION_STEPS;
    }

    private void step() throws InterruptedException {
        List<Entry> up = mEntries.stream().filter(Entry::isUp).toList();
        double expected = mRequestsPerStep;
        int requests = (int) expected + (mRandom.nextDouble() < expected % 1 ? 1 : 0);
        mRequests[mStep] = requests;
        for (int i = 0; i < requests && !up.isEmpty(); i++) {
            up.get(mRandom.nextInt(up.size())).request(1);
        }
        if (mStep % REPORT_STEPS == 0) {
            up.forEach(Entry::report);
        }
        for (Entry entry : up) {
            while (entry.tryRetry()) {
                mRetries[mStep + (mRandom.nextBoolean() ? PERMIT_STEPS : 0)]++;
            }
        }
    }

    /** Returns the largest share of what is allowed that any window holds. */
    double fullestWindow() {
        double most = 0;
        for (int from = 0; from + WINDOW_STEPS <= mRequests.length; from++) {
            int retries = Arrays.stream(mRetries, from, from + WINDOW_STEPS).sum();
            most = Math.max(most, retries / allowed(from));
        }
        return most;
    }

    private double allowed(int from) {
        int half = WINDOW_STEPS / 2;
        int requests =
                Math.max(
                        requests(from), Math.max(requests(from - half), requests(from - 2 * half)));
        return LIMIT.ratio() * requests + LIMIT.slack();
    }

    private int requests(int from) {
        return Arrays.stream(mRequests, Math.max(0, from), Math.max(0, from + WINDOW_STEPS)).sum();
    }
}
