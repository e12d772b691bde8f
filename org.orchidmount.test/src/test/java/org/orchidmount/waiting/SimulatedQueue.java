/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.waiting;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import org.orchidmount.routing.MemoryForecast;
import org.orchidmount.routing.MemoryRule;

/**
 * A site with engines whose memory is the bottleneck, in steps of 5 ms, without a network: bursts
 * of twice the load from two of 16 accounts, two ranks of urgency, callers that retry once when
 * told. Thread-confined.
 */
final class SimulatedQueue {
    static final int STEP_MILLIS = 5;
    static final double TOKENS_PER_MILLI = 1.3;
    static final double FIRST_TOKEN_MILLIS = 200;
    static final int MEMORY_TOKENS = 74_000;
    static final double SERVICE_MILLIS = 4_900 / TOKENS_PER_MILLI;
    private static final int SLOTS = 12;
    private static final int SEARCH_MILLIS = 45;
    private static final int VIEW_STEPS = 5;
    private static final int VISIBLE_MILLIS = 60;

    private final SplittableRandom mRandom;

    /** Apart, so that all designs meet the same arrivals. */
    private final SplittableRandom mRetryRandom;

    private final int mEntries;
    private final double mArrivalsPerStep;
    private final QueueDesign mDesign;
    private final List<List<Running>> mEngines = new ArrayList<>();
    private final ArrayDeque<List<RoomForecast.Engine>> mViews = new ArrayDeque<>();
    private final List<SimulatedRequest> mWaiting = new ArrayList<>();
    private final Map<Long, List<SimulatedRequest>> mRetries = new HashMap<>();
    private final Map<String, Boolean> mReaches = new HashMap<>();
    private final Set<Long> mEndSeenMillis = new HashSet<>();
    private long mNowMillis;
    private int mNextId;
    private int mArrived;
    private int mInTime;
    private int mServedLater;
    private int mGivenUp;
    private int mViolations;
    private int mRefusedByEngine;
    private double mUnusedEngineMillis;
    private final Map<String, int[]> mByGroup = new HashMap<>();

    /** A sequence in progress. */
    private static final class Running {
        final SimulatedRequest mRequest;
        final long mStartMillis;

        Running(SimulatedRequest request, long startMillis) {
            mRequest = request;
            mStartMillis = startMillis;
        }

        double generated(long nowMillis) {
            return Math.max(0, nowMillis - mStartMillis - FIRST_TOKEN_MILLIS) * TOKENS_PER_MILLI;
        }
    }

    /**
     * What was measured.
     *
     * @param inTime share of the requests whose first attempt was served in time
     * @param onRetry share served on their retry
     * @param givenUp share refused twice
     * @param violations placements per request that passed one ahead which had room there
     * @param unused share of the time of engines in which a waiting request had room there
     * @param messagesPerSecond messages of the whole site
     * @param busiestPerSecond messages of the busiest instance
     * @param lowestShare lowest share in time of any rank, relative to all
     */
    record Result(
            double inTime,
            double onRetry,
            double givenUp,
            double violations,
            double unused,
            double messagesPerSecond,
            double busiestPerSecond,
            double lowestShare) {}

    SimulatedQueue(int entries, int engines, double load, QueueDesign design, long seed) {
        mEntries = entries;
        mDesign = design;
        mRandom = new SplittableRandom(seed);
        mRetryRandom = new SplittableRandom(seed + 1);
        // Some seven outputs fit into the memory of an engine.
        mArrivalsPerStep = load * engines * 7 / SERVICE_MILLIS * STEP_MILLIS;
        for (int i = 0; i < engines; i++) {
            mEngines.add(new ArrayList<>());
        }
    }

    /** Fills the engines, with outputs at random stages, until a mean request has no room. */
    private void fillEngines() {
        for (int i = 0; i < mEngines.size(); i++) {
            SimulatedRequest request = newRequest();
            while (fits(i, request)) {
                long sinceMillis = (long) (mRandom.nextDouble() * SERVICE_MILLIS);
                mEngines.get(i).add(new Running(request, -sinceMillis));
                request = newRequest();
            }
        }
    }

    Result run(double seconds) {
        fillEngines();
        long endMillis = (long) (seconds * 1_000);
        while (mNowMillis < endMillis) {
            step();
            mNowMillis += STEP_MILLIS;
        }
        double lowest = 1;
        double all = (double) mInTime / mArrived;
        for (int[] group : mByGroup.values()) {
            lowest = Math.min(lowest, (double) group[1] / group[0] / all);
        }
        return new Result(
                all,
                (double) mServedLater / mArrived,
                (double) mGivenUp / mArrived,
                (double) mViolations / mArrived,
                mUnusedEngineMillis / (mEngines.size() * (double) endMillis),
                mDesign.messages() / seconds,
                mDesign.busiestMessages() / seconds,
                lowest);
    }

    private void step() {
        for (List<Running> engine : mEngines) {
            if (engine.removeIf(one -> one.generated(mNowMillis) >= one.mRequest.mLength)) {
                mEndSeenMillis.add(mNowMillis + VIEW_STEPS * STEP_MILLIS);
            }
        }
        if (mEndSeenMillis.removeIf(seenMillis -> seenMillis <= mNowMillis)) {
            wake();
        }
        mViews.addLast(view());
        if (mViews.size() > VIEW_STEPS) {
            mViews.removeFirst();
        }
        arrivals();
        for (SimulatedRequest request : List.copyOf(mWaiting)) {
            if (request.mNextSearchMillis <= mNowMillis) {
                search(request);
            }
        }
        measureUnused();
    }

    /** Lets those that wait search again, 15 ms after their last search at the earliest. */
    private void wake() {
        if (!mDesign.wakesOnEnds()) {
            return;
        }
        for (SimulatedRequest request : mWaiting) {
            long earliestMillis = request.mNextSearchMillis - SEARCH_MILLIS + 15;
            request.mNextSearchMillis =
                    Math.min(request.mNextSearchMillis, Math.max(mNowMillis, earliestMillis));
        }
    }

    private List<RoomForecast.Engine> view() {
        List<RoomForecast.Engine> view = new ArrayList<>();
        for (int i = 0; i < mEngines.size(); i++) {
            view.add(engine(i));
        }
        return view;
    }

    private RoomForecast.Engine engine(int index) {
        List<MemoryForecast.Sequence> sequences = new ArrayList<>();
        for (Running one : mEngines.get(index)) {
            sequences.add(one.mRequest.sequence(one.generated(mNowMillis)));
        }
        return new RoomForecast.Engine(
                "e" + index, MEMORY_TOKENS, SLOTS, TOKENS_PER_MILLI, FIRST_TOKEN_MILLIS, sequences);
    }

    private void arrivals() {
        boolean isBurst = mNowMillis / 2_000 % 2 == 0;
        double mean = mArrivalsPerStep * (isBurst ? 1.6 : 0.8);
        int count = 0;
        for (double left = -Math.log(1 - mRandom.nextDouble()); left < mean; count++) {
            left += -Math.log(1 - mRandom.nextDouble());
        }
        for (int i = 0; i < count; i++) {
            SimulatedRequest request = newRequest();
            add(request);
            mArrived++;
            mByGroup.computeIfAbsent("rank " + request.mUrgency, key -> new int[2])[0]++;
        }
        List<SimulatedRequest> retries = mRetries.remove(mNowMillis / STEP_MILLIS);
        if (retries != null) {
            retries.forEach(this::add);
        }
    }

    private SimulatedRequest newRequest() {
        boolean isFlood = mRandom.nextInt(10) < 4;
        int account = isFlood ? mRandom.nextInt(2) : 2 + mRandom.nextInt(14);
        int urgency = mRandom.nextInt(2);
        double expected = 4_900 * Math.exp(0.3 * mRandom.nextGaussian());
        long targetMillis = urgency == 0 ? 800 : 2_000;
        return new SimulatedRequest(
                "r" + mNextId++,
                mRandom.nextInt(mEntries),
                "a" + account,
                urgency,
                targetMillis,
                (int) (4_500 * Math.exp(0.45 * mRandom.nextGaussian())),
                (int) expected,
                expected * Math.exp(0.38 * mRandom.nextGaussian()),
                false,
                mNowMillis,
                targetMillis - (long) (1.25 * FIRST_TOKEN_MILLIS));
    }

    private void add(SimulatedRequest request) {
        mWaiting.add(request);
        mDesign.arrived(request, mNowMillis);
    }

    private void search(SimulatedRequest request) {
        request.mNextSearchMillis = mNowMillis + SEARCH_MILLIS;
        RoomRule.Decision decision = mDesign.decide(request, mViews.getFirst(), mNowMillis);
        switch (decision) {
            case RoomRule.Decision.Place place -> tryEngines(request, place.engines());
            case RoomRule.Decision.Wait wait -> {
                if (mNowMillis >= request.mUntilMillis) {
                    refuse(request, SERVICE_MILLIS * 1.2);
                }
            }
            case RoomRule.Decision.Refuse refuse -> refuse(request, refuse.millis());
        }
        if (!request.mHasLeft && mNowMillis >= request.mUntilMillis) {
            refuse(request, SERVICE_MILLIS * 1.2);
        }
    }

    private void tryEngines(SimulatedRequest request, Set<String> engines) {
        Set<String> untried = new TreeSet<>(engines);
        for (int attempt = 0; attempt < 3 && !untried.isEmpty(); attempt++) {
            String best = null;
            int fewest = Integer.MAX_VALUE;
            for (String id : untried) {
                int outputs = mEngines.get(index(id)).size();
                if (outputs < fewest) {
                    best = id;
                    fewest = outputs;
                }
            }
            untried.remove(best);
            if (fits(index(best), request)) {
                place(request, index(best));
                return;
            }
            mRefusedByEngine++;
        }
    }

    private static int index(String id) {
        return Integer.parseInt(id.substring(1));
    }

    private boolean fits(int engine, SimulatedRequest request) {
        List<MemoryForecast.Sequence> sequences = new ArrayList<>(engine(engine).sequences());
        if (sequences.size() >= SLOTS) {
            return false;
        }
        sequences.add(request.sequence(0));
        return MemoryRule.fits(sequences, request.availableTokens());
    }

    private void place(SimulatedRequest request, int engine) {
        if (hasPassed(request, engine)) {
            mViolations++;
        }
        mEngines.get(engine).add(new Running(request, mNowMillis));
        leave(request);
        if (request.mIsRetry) {
            mServedLater++;
        } else {
            mInTime++;
            mByGroup.get("rank " + request.mUrgency)[1]++;
        }
    }

    /** Returns whether a request that is ahead and known to all had room at the engine. */
    private boolean hasPassed(SimulatedRequest request, int engine) {
        List<WaitingRequest> waiting = new ArrayList<>();
        Map<String, SimulatedRequest> byId = new HashMap<>();
        for (SimulatedRequest other : mWaiting) {
            if (other != request && mNowMillis - other.mArrivedMillis > VISIBLE_MILLIS) {
                waiting.add(other.waiting(mNowMillis));
                byId.put(other.mId, other);
            }
        }
        return WaitOrder.ahead(waiting, request.waiting(mNowMillis), intervalMillis()).stream()
                .anyMatch(other -> fits(engine, byId.get(other.id())));
    }

    private double intervalMillis() {
        return SERVICE_MILLIS / (7.0 * mEngines.size());
    }

    private void leave(SimulatedRequest request) {
        request.mHasLeft = true;
        mWaiting.remove(request);
        mDesign.left(request, mNowMillis);
    }

    private void refuse(SimulatedRequest request, double roomMillis) {
        leave(request);
        if (request.mIsRetry) {
            mGivenUp++;
            return;
        }
        double limited = Math.clamp(roomMillis, 50, SERVICE_MILLIS * 1.2);
        long atMillis = mNowMillis + (long) (limited * (1 + 0.25 * mRetryRandom.nextDouble()));
        mRetries.computeIfAbsent(atMillis / STEP_MILLIS, key -> new ArrayList<>())
                .add(
                        new SimulatedRequest(
                                request.mId + "r",
                                request.mEntry,
                                request.mAccount,
                                request.mUrgency,
                                request.mTargetMillis,
                                request.mPromptTokens,
                                request.mExpectedTokens,
                                request.mLength,
                                true,
                                atMillis / STEP_MILLIS * STEP_MILLIS,
                                2 * request.mTargetMillis));
    }

    /** Samples every 25 ms whether a request that has waited for 60 ms has room somewhere. */
    private void measureUnused() {
        if (mNowMillis % 25 != 0) {
            return;
        }
        Set<Integer> unused = new HashSet<>();
        for (SimulatedRequest request : mWaiting) {
            if (mNowMillis - request.mArrivedMillis <= VISIBLE_MILLIS) {
                continue;
            }
            for (int i = 0; i < mEngines.size(); i++) {
                if (!unused.contains(i) && fits(i, request)) {
                    unused.add(i);
                    break;
                }
            }
        }
        mUnusedEngineMillis += 25.0 * unused.size();
    }
}
