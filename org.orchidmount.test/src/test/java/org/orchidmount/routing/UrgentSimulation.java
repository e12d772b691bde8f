/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.orchidmount.junit.ManualClock;

/**
 * Engines that requests of two ranks share, without a network and in simulated time. Each entry
 * learns from its own arrivals only. Not thread-safe.
 *
 * <p>Refused requests do not return; every request waits for the same time.
 */
final class UrgentSimulation {
    /** The memory of one engine, as in the deployment with 67 entries and 20 engines. */
    private static final long MEMORY_TOKENS = 74_000;

    private static final int SLOTS = 12;
    private static final int ENGINES = 6;
    private static final int ENTRIES = 20;
    private static final int STEP_MILLIS = 45;
    private static final int WAIT_MILLIS = 180;
    private static final int RUN_MILLIS = 120_000;
    private static final double MEAN_PROMPT_TOKENS = 5_000;
    private static final double MEDIAN_OUTPUT_TOKENS = 4_000;
    private static final double DEVIATION = 0.38;
    private static final double FIRST_TOKEN_MILLIS = 150;
    private static final double TOKENS_PER_MILLI = 1.3;
    private static final double OUTPUT_MILLIS = MEDIAN_OUTPUT_TOKENS / TOKENS_PER_MILLI;

    private final SplittableRandom mRandom;
    private final ReserveRule mRule;
    private final ManualClock mClock = new ManualClock();
    private final List<List<Running>> mEngines = new ArrayList<>();
    private final List<UrgentArrivals> mEntries = new ArrayList<>();
    private final List<Waiting> mWaiting = new ArrayList<>();
    private final int[] mArrived = new int[2];
    private final int[] mServed = new int[2];
    private int mNowMillis;

    private record Request(int entry, int rank, double promptTokens, double expected, double max) {
        MemoryForecast.Sequence after(double generated) {
            return new MemoryForecast.Sequence(promptTokens, generated, expected, 1e9);
        }
    }

    private record Waiting(Request request, int untilMillis) {}

    private record Running(Request request, int placedMillis) {
        double generated(int nowMillis) {
            return Math.max(0, nowMillis - placedMillis - FIRST_TOKEN_MILLIS) * TOKENS_PER_MILLI;
        }
    }

    /** Decides the reserve, as {@link UrgentReserve#tokens}. */
    @FunctionalInterface
    interface ReserveRule {
        long tokens(
                UrgentReserve.Load moreUrgent, int engines, double heldMillis, long memoryTokens);
    }

    /** Requests per second of each rank at a moment. */
    @FunctionalInterface
    interface Load {
        double perSecond(int rank, int nowMillis);
    }

    /**
     * The share of the requests that were served.
     *
     * @param urgent share of rank 0
     * @param other share of rank 1
     * @param all share of all
     */
    record Served(double urgent, double other, double all) {}

    private UrgentSimulation(long seed, ReserveRule rule) {
        mRandom = new SplittableRandom(seed);
        mRule = rule;
        for (int i = 0; i < ENGINES; i++) {
            mEngines.add(new ArrayList<>());
        }
        for (int i = 0; i < ENTRIES; i++) {
            mEntries.add(new UrgentArrivals(mClock, () -> ENTRIES));
        }
    }

    static Served run(long seed, ReserveRule rule, Load load) {
        UrgentSimulation simulation = new UrgentSimulation(seed, rule);
        while (simulation.mNowMillis < RUN_MILLIS) {
            simulation.step(load);
        }
        int[] served = simulation.mServed;
        int[] arrived = simulation.mArrived;
        return new Served(
                share(served[0], arrived[0]),
                share(served[1], arrived[1]),
                share(served[0] + served[1], arrived[0] + arrived[1]));
    }

    private static double share(int part, int whole) {
        return whole == 0 ? 1 : (double) part / whole;
    }

    private void step(Load load) {
        mNowMillis += STEP_MILLIS;
        mClock.advance(Duration.ofMillis(STEP_MILLIS));
        for (List<Running> engine : mEngines) {
            engine.removeIf(running -> running.generated(mNowMillis) >= running.request().max());
        }
        for (int rank = 0; rank < 2; rank++) {
            double expected = load.perSecond(rank, mNowMillis) * STEP_MILLIS / 1_000;
            for (double left = expected; left > 0; left--) {
                if (mRandom.nextDouble() < left) {
                    arrive(rank);
                }
            }
        }
        // Entries search in no particular order.
        List<Waiting> searching = new ArrayList<>(mWaiting);
        mWaiting.clear();
        while (!searching.isEmpty()) {
            search(searching.remove(mRandom.nextInt(searching.size())));
        }
    }

    private void arrive(int rank) {
        double expected = MEDIAN_OUTPUT_TOKENS * Math.exp(0.3 * mRandom.nextGaussian());
        Request request =
                new Request(
                        mRandom.nextInt(ENTRIES),
                        rank,
                        MEAN_PROMPT_TOKENS * Math.exp(0.4 * mRandom.nextGaussian() - 0.08),
                        expected,
                        expected * Math.exp(DEVIATION * mRandom.nextGaussian()));
        mArrived[rank]++;
        mEntries.get(request.entry())
                .arrived("s", rank, (long) (request.promptTokens() + request.expected()));
        mWaiting.add(new Waiting(request, mNowMillis + WAIT_MILLIS));
    }

    private void search(Waiting waiting) {
        Request request = waiting.request();
        UrgentArrivals entry = mEntries.get(request.entry());
        Optional<List<Running>> engine = engine(request, tokens(request, entry));
        if (engine.isPresent()) {
            engine.get().add(new Running(request, mNowMillis));
            entry.placed("s", request.rank());
            mServed[request.rank()]++;
        } else if (mNowMillis < waiting.untilMillis()) {
            mWaiting.add(waiting);
        } else if (tokens(request, entry) < MEMORY_TOKENS) {
            entry.heldBack("s", request.rank());
        }
    }

    private long tokens(Request request, UrgentArrivals entry) {
        if (UrgentReserve.isExempt(entry.heldBackInARow("s", request.rank()))) {
            return MEMORY_TOKENS;
        }
        long reserve =
                mRule.tokens(
                        entry.moreUrgent("s", request.rank()),
                        ENGINES,
                        FIRST_TOKEN_MILLIS + OUTPUT_MILLIS,
                        MEMORY_TOKENS);
        return UrgentReserve.availableTokens(
                request.after(0), MEMORY_TOKENS, reserve, MEMORY_TOKENS);
    }

    private Optional<List<Running>> engine(Request request, long tokens) {
        return mEngines.stream()
                .filter(engine -> engine.size() < SLOTS && fits(engine, request, tokens))
                .min(Comparator.comparingDouble(this::usedTokens));
    }

    private boolean fits(List<Running> engine, Request request, long tokens) {
        List<MemoryForecast.Sequence> sequences = new ArrayList<>();
        sequences.add(request.after(0));
        engine.forEach(
                running -> sequences.add(running.request().after(running.generated(mNowMillis))));
        return MemoryRule.fits(sequences, tokens);
    }

    private double usedTokens(List<Running> engine) {
        return engine.stream()
                .mapToDouble(
                        running -> running.request().promptTokens() + running.generated(mNowMillis))
                .sum();
    }
}
