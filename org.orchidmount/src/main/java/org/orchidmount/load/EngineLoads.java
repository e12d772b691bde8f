/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.internal.lock.LockRank;
import org.orchidmount.internal.lock.OrderedLock;

/**
 * The answers that engines are making, for this instance and for the others.
 *
 * <p>Invariants: a run counts until its end is told, or nothing is told of it for a while; once its
 * end was told, older news that came by another way does not bring it back. Thread-safe.
 */
public final class EngineLoads {
    /** What an engine makes in a millisecond for each answer, before any was seen. */
    private static final double FIRST_TOKENS_PER_MILLI = 1.3;

    private static final double SPEED_WEIGHT = 0.2;

    /** Between the moment an engine is chosen and its first token. */
    private static final double PROMPT_MILLIS = 150;

    /** The share of an engine's memory that is planned with; the rest is lost in blocks. */
    private static final double USABLE_SHARE = 0.97;

    /** A run that was not told of for this long has ended with the instance that placed it. */
    private static final long FORGET_NANOS = Duration.ofSeconds(5).toNanos();

    /** Runs that began this close to each other may have been placed without knowing. */
    private static final long TOGETHER_NANOS = Duration.ofMillis(80).toNanos();

    private static final double NANOS_PER_MILLI = 1e6;

    private final OrderedLock mLock = new OrderedLock(LockRank.LOADS);
    private final MonotonicClock mClock;
    private final Map<String, Map<String, Held>> mRuns = new HashMap<>();
    private double mTokensPerMilli = FIRST_TOKENS_PER_MILLI;

    /** A run, when it was first told of, and when what is known of it was told. */
    private record Held(EngineRun run, long sinceNanos, long toldNanos) {
        boolean isFollowedBy(Held news) {
            boolean older = news.run.madeTokens() < run.madeTokens() && !news.run.ended();
            return !run.ended() && !older;
        }

        Held after(Held before) {
            return new Held(run, before.sinceNanos, toldNanos);
        }
    }

    /**
     * Creates an empty view.
     *
     * @param clock the clock
     */
    public EngineLoads(MonotonicClock clock) {
        mClock = clock;
    }

    /**
     * Takes news of a run.
     *
     * @param run the run
     */
    public void apply(EngineRun run) {
        try (OrderedLock.Held _ = mLock.hold()) {
            long nowNanos = mClock.nanoTime();
            mRuns.computeIfAbsent(run.upstreamId(), id -> new HashMap<>())
                    .merge(
                            run.requestId(),
                            new Held(run, nowNanos, nowNanos),
                            (before, news) ->
                                    before.isFollowedBy(news) ? news.after(before) : before);
        }
    }

    /**
     * Notes how fast an answer was made.
     *
     * @param tokensPerMilli its tokens for each millisecond between its first and its last
     */
    public void observeSpeed(double tokensPerMilli) {
        try (OrderedLock.Held _ = mLock.hold()) {
            mTokensPerMilli += SPEED_WEIGHT * (tokensPerMilli - mTokensPerMilli);
        }
    }

    /**
     * Names the engines whose memory would not bear one more run.
     *
     * @param candidate the run; its engine does not count
     * @param memoryTokens the memory of each engine
     * @return their identities; an engine of which nothing is known is not among them
     */
    public Set<String> crowded(EngineRun candidate, long memoryTokens) {
        try (OrderedLock.Held _ = mLock.hold()) {
            long nowNanos = mClock.nanoTime();
            forgetOld(nowNanos);
            Set<String> crowded = new HashSet<>();
            mRuns.forEach(
                    (upstreamId, held) -> {
                        if (peakTokens(held, candidate, nowNanos) > USABLE_SHARE * memoryTokens) {
                            crowded.add(upstreamId);
                        }
                    });
            return crowded;
        }
    }

    /**
     * Tells how much an engine has yet to read.
     *
     * @param upstreamId its identity
     * @return the tokens of all prompts that it was given to read and has not
     */
    public int queuedTokens(String upstreamId) {
        try (OrderedLock.Held _ = mLock.hold()) {
            return running(upstreamId)
                    .filter(held -> held.run().isReading())
                    .mapToInt(held -> held.run().promptTokens())
                    .sum();
        }
    }

    /**
     * Estimates how much memory the answers of an engine take now.
     *
     * @param upstreamId its identity
     * @return tokens
     */
    public double heldTokens(String upstreamId) {
        try (OrderedLock.Held _ = mLock.hold()) {
            long nowNanos = mClock.nanoTime();
            return running(upstreamId)
                    .mapToDouble(held -> held.run().promptTokens() + madeTokens(held, nowNanos))
                    .sum();
        }
    }

    private Stream<Held> running(String upstreamId) {
        return mRuns.getOrDefault(upstreamId, Map.of()).values().stream()
                .filter(held -> !held.run().ended());
    }

    /**
     * Tells whether an engine bears a run that was just told of, where several instances may have
     * chosen the engine at the same moment: of those that began together the ones with the lower
     * identities stay, and every instance decides alike.
     *
     * @param run the run, which is held here
     * @param memoryTokens the memory of the engine
     * @return false if the run has to go elsewhere
     */
    public boolean bears(EngineRun run, long memoryTokens) {
        try (OrderedLock.Held _ = mLock.hold()) {
            Map<String, Held> runs = mRuns.getOrDefault(run.upstreamId(), Map.of());
            Held own = runs.get(run.requestId());
            if (own == null) {
                return true;
            }
            Map<String, Held> before = new HashMap<>(runs);
            before.values().removeIf(other -> !goesBefore(other, own));
            return peakTokens(before, run, mClock.nanoTime()) <= USABLE_SHARE * memoryTokens;
        }
    }

    private static boolean goesBefore(Held other, Held own) {
        boolean together = other.sinceNanos() - own.sinceNanos() > -TOGETHER_NANOS;
        return together
                ? other.run().requestId().compareTo(own.run().requestId()) < 0
                : other != own;
    }

    private double peakTokens(Map<String, Held> held, EngineRun candidate, long nowNanos) {
        List<MemoryForecast.Run> runs = new ArrayList<>(held.size() + 1);
        runs.add(forecastRun(candidate, 0));
        for (Held run : held.values()) {
            if (!run.run().ended()) {
                runs.add(forecastRun(run.run(), madeTokens(run, nowNanos)));
            }
        }
        return MemoryForecast.peakTokens(runs, mTokensPerMilli);
    }

    private double madeTokens(Held held, long nowNanos) {
        double toldMillis = (nowNanos - held.toldNanos()) / NANOS_PER_MILLI;
        boolean begun = held.run().madeTokens() > 0;
        double grownMillis = begun ? toldMillis : Math.max(0, toldMillis - PROMPT_MILLIS);
        return held.run().madeTokens() + grownMillis * mTokensPerMilli;
    }

    private static MemoryForecast.Run forecastRun(EngineRun run, double madeTokens) {
        return new MemoryForecast.Run(
                run.promptTokens(), madeTokens, run.expectedTokens(), run.mostTokens());
    }

    private void forgetOld(long nowNanos) {
        for (Map<String, Held> runs : mRuns.values()) {
            runs.values().removeIf(held -> nowNanos - held.toldNanos() > FORGET_NANOS);
        }
        mRuns.values().removeIf(Map::isEmpty);
    }
}
