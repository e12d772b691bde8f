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
import java.util.function.Function;
import java.util.stream.Stream;
import org.orchidmount.clock.Millis;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.internal.lock.LockRank;
import org.orchidmount.internal.lock.OrderedLock;
import org.orchidmount.membership.Incarnation;
import org.orchidmount.routing.EngineSpeed;
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
 *       announcement of it has arrived for 5 s.
 *   <li>Once a sequence has ended, an older announcement that arrives late over another path does
 *       not revive it.
 *   <li>If the incarnation of an engine is recorded, announcements for earlier incarnations never
 *       count. An announcement that states no incarnation, as from an instance that does not know
 *       it, counts unless the engine has restarted since the sequence was first received.
 * </ul>
 *
 * <p>Thread-safe.
 */
public final class EngineLoads {
    /**
     * Time without an announcement after which a sequence is dropped, which is three missed
     * announcements: the instance that announced the sequence is assumed to have stopped.
     */
    private static final Duration EXPIRY = Duration.ofSeconds(5);

    /** Number of engines above which the incarnations of engines without sequences are dropped. */
    private static final int MAX_INCARNATIONS = 4_096;

    private final OrderedLock mLock = new OrderedLock(LockRank.LOADS);
    private final MonotonicClock mClock;
    private final Map<String, Map<String, Announcement>> mSequences = new HashMap<>();

    /** Registered incarnation of each engine that has stated one, by engine id. */
    private final Map<String, Incarnation> mIncarnations = new HashMap<>();

    private volatile Runnable mEndObserver = () -> {};

    /**
     * The latest announcement of a sequence.
     *
     * @param sequence the sequence
     * @param firstReceivedNanos monotonic time of its first announcement
     * @param lastReceivedNanos monotonic time of its latest announcement
     */
    private record Announcement(
            InFlightSequence sequence, long firstReceivedNanos, long lastReceivedNanos) {
        boolean isWithoutIncarnation() {
            return !sequence.engine().isStartKnown();
        }

        Announcement asEnded() {
            return new Announcement(sequence.asEnded(), firstReceivedNanos, lastReceivedNanos);
        }

        Announcement mergedWith(Announcement next) {
            if (sequence.ended()) {
                // A repeated announcement keeps the ended sequence from expiring.
                return new Announcement(sequence, firstReceivedNanos, next.lastReceivedNanos);
            }
            return isSupersededBy(next) ? next.withFirstReceivedOf(this) : this;
        }

        private boolean isSupersededBy(Announcement next) {
            boolean older =
                    next.sequence.generatedTokens() < sequence.generatedTokens()
                            && !next.sequence.ended();
            return !older;
        }

        private Announcement withFirstReceivedOf(Announcement before) {
            return new Announcement(sequence, before.firstReceivedNanos, lastReceivedNanos);
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
     * Sets what is called after the end of a sequence has been announced.
     *
     * @param observer the observer; called without a lock held, must not block
     */
    public void setEndObserver(Runnable observer) {
        mEndObserver = observer;
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
    public void onRegistration(Incarnation engine) {
        try (OrderedLock.Held _ = mLock.hold()) {
            if (mIncarnations.size() > MAX_INCARNATIONS) {
                mIncarnations.keySet().retainAll(mSequences.keySet());
            }
            if (!engine.isStartKnown()) {
                mIncarnations.remove(engine.id());
                return;
            }
            Incarnation before = mIncarnations.put(engine.id(), engine);
            removeEarlierIncarnations(engine);
            if (before != null && !before.equals(engine)) {
                endWithoutIncarnation(engine);
            }
        }
    }

    private void removeEarlierIncarnations(Incarnation engine) {
        Map<String, Announcement> atEngine = mSequences.getOrDefault(engine.id(), new HashMap<>());
        atEngine.values().removeIf(old -> engine.supersedes(old.sequence().engine()));
    }

    /**
     * Marks the sequences without an incarnation as ended. They are kept, because later
     * announcements of them may state no incarnation either and must not revive them.
     */
    private void endWithoutIncarnation(Incarnation engine) {
        Map<String, Announcement> atEngine = mSequences.getOrDefault(engine.id(), new HashMap<>());
        atEngine.replaceAll((id, old) -> old.isWithoutIncarnation() ? old.asEnded() : old);
    }

    /**
     * Returns whether the engine has registered a newer incarnation than the one that the sequence
     * was placed on.
     */
    private boolean isOfEarlierIncarnation(InFlightSequence sequence) {
        Incarnation registered = mIncarnations.get(sequence.upstreamId());
        return registered != null && registered.supersedes(sequence.engine());
    }

    /**
     * Applies an announcement of a sequence. Announcements for an earlier incarnation of the engine
     * are ignored.
     *
     * @param sequence the announced state
     */
    public void update(InFlightSequence sequence) {
        try (OrderedLock.Held _ = mLock.hold()) {
            if (isOfEarlierIncarnation(sequence)) {
                return;
            }
            long nowNanos = mClock.nanoTime();
            mSequences
                    .computeIfAbsent(sequence.upstreamId(), id -> new HashMap<>())
                    .merge(
                            sequence.id(),
                            new Announcement(sequence, nowNanos, nowNanos),
                            Announcement::mergedWith);
        }
        if (sequence.ended()) {
            mEndObserver.run();
        }
    }

    /**
     * Returns the engines whose memory has no room for one more sequence.
     *
     * @param candidate the sequence to place; its engine is ignored
     * @param memoryTokens KV cache memory of each engine, in tokens
     * @param speed measured speed of the engines
     * @return ids of the full engines; an engine without sequences is never included
     */
    public Set<String> saturatedEngines(
            InFlightSequence candidate, long memoryTokens, EngineSpeed speed) {
        return saturatedEngines(candidate, memoryTokens, upstreamId -> speed);
    }

    /**
     * Returns the engines whose memory has no room for one more sequence.
     *
     * @param candidate the sequence to place; its engine is ignored
     * @param memoryTokens KV cache memory of each engine, in tokens
     * @param speedOf returns the measured speed of an engine by its id
     * @return ids of the full engines; an engine without sequences is never included
     */
    public Set<String> saturatedEngines(
            InFlightSequence candidate, long memoryTokens, Function<String, EngineSpeed> speedOf) {
        try (OrderedLock.Held _ = mLock.hold()) {
            long nowNanos = mClock.nanoTime();
            removeExpired(nowNanos);
            Set<String> saturated = new HashSet<>();
            mSequences.forEach(
                    (upstreamId, atEngine) -> {
                        EngineSpeed speed = speedOf.apply(upstreamId);
                        if (!fits(atEngine, candidate, memoryTokens, speed, nowNanos)) {
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
                    .map(Announcement::sequence)
                    .filter(InFlightSequence::isPrefill)
                    .mapToInt(InFlightSequence::promptTokens)
                    .sum();
        }
    }

    /**
     * Estimates the KV cache memory that the sequences of an engine use now.
     *
     * @param upstreamId the engine's id
     * @param speed measured speed of the engines
     * @return tokens
     */
    public double usedMemoryTokens(String upstreamId, EngineSpeed speed) {
        try (OrderedLock.Held _ = mLock.hold()) {
            long nowNanos = mClock.nanoTime();
            return inFlight(upstreamId)
                    .mapToDouble(
                            announcement ->
                                    announcement.sequence().promptTokens()
                                            + generatedTokens(announcement, speed, nowNanos))
                    .sum();
        }
    }

    /**
     * Returns the sequences in flight at engines, with the tokens that each is estimated to have
     * generated by now.
     *
     * @param speeds measured speed of each engine, by id
     * @return the sequences by the id of their engine, for each of the given engines
     */
    public Map<String, List<MemoryForecast.Sequence>> sequences(Map<String, EngineSpeed> speeds) {
        try (OrderedLock.Held _ = mLock.hold()) {
            long nowNanos = mClock.nanoTime();
            removeExpired(nowNanos);
            Map<String, List<MemoryForecast.Sequence>> sequences = new HashMap<>();
            speeds.forEach(
                    (upstreamId, speed) ->
                            sequences.put(
                                    upstreamId,
                                    inFlight(upstreamId)
                                            .map(one -> forecastInput(one, speed, nowNanos))
                                            .toList()));
            return sequences;
        }
    }

    private static MemoryForecast.Sequence forecastInput(
            Announcement announcement, EngineSpeed speed, long nowNanos) {
        double tokens = generatedTokens(announcement, speed, nowNanos);
        return announcement.sequence().forecastInput(tokens);
    }

    /**
     * Returns the sequences in flight at an engine, for logs.
     *
     * @param upstreamId the engine's id
     * @return sequence ids, sorted
     */
    public List<String> sequencesAt(String upstreamId) {
        try (OrderedLock.Held _ = mLock.hold()) {
            return inFlight(upstreamId)
                    .map(announcement -> announcement.sequence().id())
                    .sorted()
                    .toList();
        }
    }

    private Stream<Announcement> inFlight(String upstreamId) {
        return mSequences.getOrDefault(upstreamId, Map.of()).values().stream()
                .filter(announcement -> !announcement.sequence().ended());
    }

    /**
     * Returns whether a sequence keeps its placement. Several instances may have chosen the same
     * engine at the same moment, so the placement is checked again once it has been announced.
     *
     * @param sequence the announced sequence
     * @param memoryTokens KV cache memory of the engine, in tokens
     * @param speed measured speed of the engines
     * @return false if the sequence must be placed on another engine, because it does not fit or
     *     because the engine has restarted
     */
    public boolean keepsPlacement(InFlightSequence sequence, long memoryTokens, EngineSpeed speed) {
        try (OrderedLock.Held _ = mLock.hold()) {
            if (isOfEarlierIncarnation(sequence)) {
                return false;
            }
            Map<String, Announcement> atEngine =
                    mSequences.getOrDefault(sequence.upstreamId(), Map.of());
            Announcement own = atEngine.get(sequence.id());
            if (own == null) {
                return true;
            }
            Map<String, Announcement> before = new HashMap<>(atEngine);
            before.values().removeIf(other -> !hasPrecedence(other, own));
            return fits(before, sequence, memoryTokens, speed, mClock.nanoTime());
        }
    }

    private static boolean hasPrecedence(Announcement other, Announcement own) {
        return MemoryRule.hasPrecedence(
                other.firstReceivedNanos(),
                other.sequence().id(),
                own.firstReceivedNanos(),
                own.sequence().id());
    }

    private boolean fits(
            Map<String, Announcement> atEngine,
            InFlightSequence candidate,
            long memoryTokens,
            EngineSpeed speed,
            long nowNanos) {
        List<MemoryForecast.Sequence> sequences = new ArrayList<>(atEngine.size() + 1);
        sequences.add(candidate.forecastInput(0));
        for (Announcement announcement : atEngine.values()) {
            if (!announcement.sequence().ended()) {
                double tokens = generatedTokens(announcement, speed, nowNanos);
                sequences.add(announcement.sequence().forecastInput(tokens));
            }
        }
        return MemoryRule.fits(sequences, memoryTokens);
    }

    /** Extrapolates the number of generated tokens from the latest announcement. */
    private static double generatedTokens(
            Announcement announcement, EngineSpeed speed, long nowNanos) {
        double sinceMillis = Millis.ofNanos(nowNanos - announcement.lastReceivedNanos());
        boolean begun = announcement.sequence().generatedTokens() > 0;
        double growingMillis =
                begun ? sinceMillis : Math.max(0, sinceMillis - speed.firstTokenMillis());
        return announcement.sequence().generatedTokens()
                + growingMillis * speed.outputTokensPerMilli();
    }

    private void removeExpired(long nowNanos) {
        for (Map<String, Announcement> atEngine : mSequences.values()) {
            atEngine.values()
                    .removeIf(old -> nowNanos - old.lastReceivedNanos() > EXPIRY.toNanos());
        }
        mSequences.values().removeIf(Map::isEmpty);
    }
}
