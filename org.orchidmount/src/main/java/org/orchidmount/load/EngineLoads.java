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
 * What this instance knows of the sequences in flight at engines, its own and those of the others.
 *
 * <p>It keeps the facts; {@link MemoryRule} decides by them. Invariants: a sequence counts until
 * its end is announced, its engine starts again, or nothing is received of it for a while; once it
 * has ended, an older announcement that took another way does not bring it back. Of an engine whose
 * start is known, announcements of an earlier start never count. One that states no start, as from
 * an instance that knows none, counts unless the engine has started again since the sequence was
 * first received. Thread-safe.
 */
public final class EngineLoads {
    /** Three announcements missed: a sequence so silent has ended with its instance. */
    private static final Duration FORGET_AFTER = Duration.ofSeconds(5);

    /** Engines beyond which the starts of those without sequences are forgotten. */
    private static final int FORGET_STARTS_COUNT = 4_096;

    private final OrderedLock mLock = new OrderedLock(LockRank.LOADS);
    private final MonotonicClock mClock;
    private final Map<String, Map<String, Known>> mSequences = new HashMap<>();

    /** The registered start of each engine that has stated one. */
    private final Map<String, Incarnation> mStarted = new HashMap<>();

    /**
     * A sequence as it was last announced.
     *
     * @param sequence the sequence
     * @param sinceNanos when it was first received
     * @param updatedNanos when it was last received
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
     * Creates an empty view.
     *
     * @param clock the clock
     */
    public EngineLoads(MonotonicClock clock) {
        mClock = clock;
    }

    /**
     * Takes which start of an engine is registered now. What was given to it before another start
     * that was registered has ended. Announcements do not tell: they may be of a start that has
     * been given up.
     *
     * @param engine the engine
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

    /** Those without a start may be announced again as such, so they are kept as ended. */
    private void endUnstated(Incarnation engine) {
        Map<String, Known> atEngine = mSequences.getOrDefault(engine.id(), new HashMap<>());
        atEngine.replaceAll((id, old) -> old.isWithoutStart() ? old.asEnded() : old);
    }

    /** Tells whether the engine of a sequence has started again since. */
    private boolean isOfEarlierStart(InFlightSequence sequence) {
        Incarnation registered = mStarted.get(sequence.upstreamId());
        return registered != null && registered.provesEndOf(sequence.engine());
    }

    /**
     * Takes what was announced of a sequence.
     *
     * @param sequence the sequence
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
     * Names the engines whose memory has no room for one more sequence.
     *
     * @param candidate the sequence; its engine does not count
     * @param memoryTokens the memory of each engine
     * @param pace how fast the engines are
     * @return their identities; an engine of which nothing is known is not among them
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
     * Returns how much an engine has yet to prefill.
     *
     * @param upstreamId its identity
     * @return the tokens of all prompts that it was given and has not prefilled
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
     * Estimates how much memory the sequences of an engine use now.
     *
     * @param upstreamId its identity
     * @param pace how fast the engines are
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
     * Names the sequences that an engine works on, for logs.
     *
     * @param upstreamId its identity
     * @return the identities of their placements
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
     * Tells whether a sequence that was just announced keeps its place, where several instances may
     * have chosen the engine at the same moment.
     *
     * @param sequence the sequence, which is known here
     * @param memoryTokens the memory of the engine
     * @param pace how fast the engines are
     * @return false if it has to go elsewhere, also because the engine has started again
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

    /** Extrapolates what a sequence has generated since it was last announced. */
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
