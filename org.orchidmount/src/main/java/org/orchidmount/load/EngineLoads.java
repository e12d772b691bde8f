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
import org.orchidmount.clock.Millis;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.internal.lock.LockRank;
import org.orchidmount.internal.lock.OrderedLock;
import org.orchidmount.membership.Incarnation;
import org.orchidmount.routing.EnginePace;
import org.orchidmount.routing.MemoryForecast;
import org.orchidmount.routing.MemoryRule;

/**
 * Tracks the sequences in flight at engines, both those placed by this instance and those announced
 * by others.
 *
 * <p>This class only keeps the data; {@link MemoryRule} makes the decisions. Invariants:
 *
 * <ul>
 *   <li>A sequence counts until its end is announced, its engine registers a new incarnation, or no
 *       announcement of it has arrived for {@link #FORGET_AFTER}.
 *   <li>Once a sequence has ended, an older announcement that arrives late over another path does
 *       not revive it.
 *   <li>If the incarnation of an engine is known, announcements for earlier incarnations never
 *       count. An announcement that states no incarnation, as from an instance that does not know
 *       it, counts unless the engine has restarted since the sequence was first received.
 * </ul>
 *
 * <p>Thread-safe.
 */
public final class EngineLoads {
    /**
     * Three missed announcements: the instance that announced the sequence is assumed to have
     * stopped.
     */
    private static final Duration FORGET_AFTER = Duration.ofSeconds(5);

    /** Number of engines above which the incarnations of engines without sequences are dropped. */
    private static final int FORGET_STARTS_COUNT = 4_096;

    private final OrderedLock mLock = new OrderedLock(LockRank.LOADS);
    private final MonotonicClock mClock;
    private final Map<String, Map<String, Known>> mSequences = new HashMap<>();

    /** Registered incarnation of each engine that has stated one, by engine id. */
    private final Map<String, Incarnation> mStarted = new HashMap<>();

    /**
     * The latest announcement of a sequence.
     *
     * @param sequence the sequence
     * @param sinceNanos monotonic time of its first announcement
     * @param updatedNanos monotonic time of its latest announcement
     */
    private record Known(InFlightSequence sequence, long sinceNanos, long updatedNanos) {
        boolean isWithoutStart() {
            return !sequence.engine().isStartStated();
        }

        Known asEnded() {
            return new Known(sequence.asEnded(), sinceNanos, updatedNanos);
        }

        Known followedBy(Known next) {
            if (sequence.ended()) {
                // Announced once more: it is remembered as ended for as long as that goes on.
                return new Known(sequence, sinceNanos, next.updatedNanos);
            }
            return isFollowedBy(next) ? next.since(this) : this;
        }

        private boolean isFollowedBy(Known next) {
            boolean older =
                    next.sequence.generatedTokens() < sequence.generatedTokens()
                            && !next.sequence.ended();
            return !older;
        }

        private Known since(Known before) {
            return new Known(sequence, before.sinceNanos, updatedNanos);
        }
    }

    /**
     * Creates a tracker without sequences.
     *
     * @param clock source of the times of announcements
     */
    public EngineLoads(MonotonicClock clock) {
        mClock = clock;
    }

    /**
     * Records the registered incarnation of an engine. Sequences placed on an earlier registered
     * incarnation have ended.
     *
     * <p>Only registrations update the incarnation, never announcements, which may refer to an
     * incarnation that no longer exists.
     *
     * @param engine the engine with its incarnation; one that states no incarnation clears the
     *     recorded one
     */
    public void registered(Incarnation engine) {
        try (OrderedLock.Held _ = mLock.hold()) {
            if (mStarted.size() > FORGET_STARTS_COUNT) {
                mStarted.keySet().retainAll(mSequences.keySet());
            }
            if (!engine.isStartStated()) {
                mStarted.remove(engine.id());
                return;
            }
            Incarnation before = mStarted.put(engine.id(), engine);
            endStatedBefore(engine);
            if (before != null && !before.equals(engine)) {
                endUnstated(engine);
            }
        }
    }

    private void endStatedBefore(Incarnation engine) {
        Map<String, Known> atEngine = mSequences.getOrDefault(engine.id(), new HashMap<>());
        atEngine.values().removeIf(old -> engine.provesEndOf(old.sequence().engine()));
    }

    /**
     * Marks the sequences without an incarnation as ended. They are kept, because later
     * announcements of them may state no incarnation either and must not revive them.
     */
    private void endUnstated(Incarnation engine) {
        Map<String, Known> atEngine = mSequences.getOrDefault(engine.id(), new HashMap<>());
        atEngine.replaceAll((id, old) -> old.isWithoutStart() ? old.asEnded() : old);
    }

    /**
     * Returns whether the engine has registered a newer incarnation than the one that the sequence
     * was placed on.
     */
    private boolean isOfEarlierStart(InFlightSequence sequence) {
        Incarnation registered = mStarted.get(sequence.upstreamId());
        return registered != null && registered.provesEndOf(sequence.engine());
    }

    /**
     * Applies an announcement of a sequence. Announcements for an earlier incarnation of the engine
     * are ignored.
     *
     * @param sequence the announced state
     */
    public void update(InFlightSequence sequence) {
        try (OrderedLock.Held _ = mLock.hold()) {
            if (isOfEarlierStart(sequence)) {
                return;
            }
            long nowNanos = mClock.nanoTime();
            mSequences
                    .computeIfAbsent(sequence.upstreamId(), id -> new HashMap<>())
                    .merge(
                            sequence.id(),
                            new Known(sequence, nowNanos, nowNanos),
                            Known::followedBy);
        }
    }

    /**
     * Returns the engines whose memory has no room for one more sequence.
     *
     * @param candidate the sequence to place; its engine is ignored
     * @param memoryTokens KV cache memory of each engine, in tokens
     * @param pace measured speed of the engines
     * @return ids of the full engines; an engine without known sequences is never included
     */
    public Set<String> saturatedEngines(
            InFlightSequence candidate, long memoryTokens, EnginePace pace) {
        try (OrderedLock.Held _ = mLock.hold()) {
            long nowNanos = mClock.nanoTime();
            forgetOld(nowNanos);
            Set<String> saturated = new HashSet<>();
            mSequences.forEach(
                    (upstreamId, known) -> {
                        if (!fits(known, candidate, memoryTokens, pace, nowNanos)) {
                            saturated.add(upstreamId);
                        }
                    });
            return saturated;
        }
    }

    /**
     * Returns the prefill backlog of an engine.
     *
     * @param upstreamId the engine's id
     * @return prompt tokens placed on the engine and not yet prefilled
     */
    public int prefillBacklogTokens(String upstreamId) {
        try (OrderedLock.Held _ = mLock.hold()) {
            return inFlight(upstreamId)
                    .map(Known::sequence)
                    .filter(InFlightSequence::isPrefill)
                    .mapToInt(InFlightSequence::promptTokens)
                    .sum();
        }
    }

    /**
     * Estimates the KV cache memory that the sequences of an engine use now.
     *
     * @param upstreamId the engine's id
     * @param pace measured speed of the engines
     * @return tokens
     */
    public double usedMemoryTokens(String upstreamId, EnginePace pace) {
        try (OrderedLock.Held _ = mLock.hold()) {
            long nowNanos = mClock.nanoTime();
            return inFlight(upstreamId)
                    .mapToDouble(
                            known ->
                                    known.sequence().promptTokens()
                                            + generatedTokens(known, pace, nowNanos))
                    .sum();
        }
    }

    /**
     * Returns the sequences in flight at an engine, for logs.
     *
     * @param upstreamId the engine's id
     * @return sequence ids, sorted
     */
    public List<String> sequencesAt(String upstreamId) {
        try (OrderedLock.Held _ = mLock.hold()) {
            return inFlight(upstreamId).map(known -> known.sequence().id()).sorted().toList();
        }
    }

    private Stream<Known> inFlight(String upstreamId) {
        return mSequences.getOrDefault(upstreamId, Map.of()).values().stream()
                .filter(known -> !known.sequence().ended());
    }

    /**
     * Returns whether a sequence keeps its placement. Several instances may have chosen the same
     * engine at the same moment, so the placement is checked again once it has been announced.
     *
     * @param sequence the announced sequence
     * @param memoryTokens KV cache memory of the engine, in tokens
     * @param pace measured speed of the engines
     * @return false if the sequence must be placed on another engine, because it does not fit or
     *     because the engine has restarted
     */
    public boolean keepsPlace(InFlightSequence sequence, long memoryTokens, EnginePace pace) {
        try (OrderedLock.Held _ = mLock.hold()) {
            if (isOfEarlierStart(sequence)) {
                return false;
            }
            Map<String, Known> atEngine = mSequences.getOrDefault(sequence.upstreamId(), Map.of());
            Known own = atEngine.get(sequence.id());
            if (own == null) {
                return true;
            }
            Map<String, Known> before = new HashMap<>(atEngine);
            before.values().removeIf(other -> !hasPrecedence(other, own));
            return fits(before, sequence, memoryTokens, pace, mClock.nanoTime());
        }
    }

    private static boolean hasPrecedence(Known other, Known own) {
        return MemoryRule.hasPrecedence(
                other.sinceNanos(), other.sequence().id(), own.sinceNanos(), own.sequence().id());
    }

    private boolean fits(
            Map<String, Known> atEngine,
            InFlightSequence candidate,
            long memoryTokens,
            EnginePace pace,
            long nowNanos) {
        List<MemoryForecast.Sequence> sequences = new ArrayList<>(atEngine.size() + 1);
        sequences.add(candidate.forecastInput(0));
        for (Known known : atEngine.values()) {
            if (!known.sequence().ended()) {
                double tokens = generatedTokens(known, pace, nowNanos);
                sequences.add(known.sequence().forecastInput(tokens));
            }
        }
        return MemoryRule.fits(sequences, memoryTokens);
    }

    /** Extrapolates the number of generated tokens from the latest announcement. */
    private static double generatedTokens(Known known, EnginePace pace, long nowNanos) {
        double sinceMillis = Millis.ofNanos(nowNanos - known.updatedNanos());
        boolean begun = known.sequence().generatedTokens() > 0;
        double growingMillis =
                begun ? sinceMillis : Math.max(0, sinceMillis - pace.firstTokenMillis());
        return known.sequence().generatedTokens() + growingMillis * pace.outputTokensPerMilli();
    }

    private void forgetOld(long nowNanos) {
        for (Map<String, Known> known : mSequences.values()) {
            known.values().removeIf(old -> nowNanos - old.updatedNanos() > FORGET_AFTER.toNanos());
        }
        mSequences.values().removeIf(Map::isEmpty);
    }
}
