/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.evidence;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.evidence.UpstreamEvidence.Witness;
import org.orchidmount.internal.lock.LockRank;
import org.orchidmount.internal.lock.OrderedLock;
import org.orchidmount.internal.log.PartLog;
import org.orchidmount.membership.Incarnation;

/**
 * The evidence that an entry has received from voters, and the ejections that follow from it by
 * {@link EjectionRule}.
 *
 * <p>Invariants: evidence of a superseded incarnation is not used; evidence that no voter has
 * renewed for 60 s is discarded; while shared evidence is not in force, nothing is held. Each entry
 * decides by itself; equal evidence leads to equal decisions. Thread-safe.
 */
public final class SharedEvidence implements EvidenceReceiver {
    private static final PartLog LOG = PartLog.of("evidence");

    /** Number of upstreams held, as at a voter. */
    private static final int MAX_UPSTREAMS = EvidenceMerger.MAX_UPSTREAMS;

    /** Interval between two removals of evidence that is too old. */
    private static final Duration REMOVAL_INTERVAL = Duration.ofSeconds(5);

    private final OrderedLock mLock = new OrderedLock(LockRank.EVIDENCE);
    private final Map<String, HeldEvidence> mHeld = new HashMap<>();
    private final Map<String, Incarnation> mRegistered = new HashMap<>();

    /** Ids of upstreams that are ejected, or that an entry has seen fail a short time ago. */
    private final Set<String> mSuspected = new HashSet<>();

    /** Averages for lookups without the lock, by id. */
    private final Map<String, Averages> mAverages = new ConcurrentHashMap<>();

    private final String mInstance;
    private final String mZone;
    private final IntSupplier mZones;
    private final BooleanSupplier mInForce;
    private final MonotonicClock mClock;
    private volatile boolean mHasSuspected;
    private long mRemovedNanos;
    private long mDigests;
    private long mEjections;
    private long mDropped;

    /**
     * Averages of one upstream.
     *
     * @param upstream the upstream
     * @param failureShare failure share as of {@code atNanos}
     * @param meanLogSlowness mean of the logarithms of the slowness
     * @param slownessWeight weight of the mean as of {@code atNanos}
     * @param atNanos monotonic time of the values
     */
    private record Averages(
            Incarnation upstream,
            double failureShare,
            double meanLogSlowness,
            double slownessWeight,
            long atNanos) {}

    /**
     * Creates a store without evidence.
     *
     * @param instance name of this entry, as in the greeting of its links
     * @param zone availability zone of this entry
     * @param zones number of availability zones that have entries
     * @param inForce whether shared evidence is in force
     * @param clock the clock
     */
    public SharedEvidence(
            String instance,
            String zone,
            IntSupplier zones,
            BooleanSupplier inForce,
            MonotonicClock clock) {
        mInstance = instance;
        mZone = zone;
        mZones = zones;
        mInForce = inForce;
        mClock = clock;
        mRemovedNanos = clock.nanoTime();
    }

    @Override
    public void onDigest(String voter, EvidenceDigest digest) {
        List<String> ejected = new ArrayList<>();
        try (OrderedLock.Held _ = mLock.hold()) {
            long nowNanos = mClock.nanoTime();
            removeOld(nowNanos);
            if (!mInForce.getAsBoolean()) {
                return;
            }
            mDigests++;
            for (UpstreamEvidence evidence : digest.upstreams()) {
                apply(voter, evidence, ejected, nowNanos);
            }
        }
        log(ejected);
    }

    private void apply(
            String voter, UpstreamEvidence evidence, List<String> ejected, long nowNanos) {
        Incarnation upstream = evidence.upstream();
        Incarnation registered = mRegistered.getOrDefault(upstream.id(), upstream);
        if (registered.isNewerThan(upstream)) {
            mDropped++;
            return;
        }
        HeldEvidence held = hold(upstream);
        if (held == null) {
            mDropped++;
            return;
        }
        held.put(voter, evidence, nowNanos);
        UpstreamEvidence voters = held.united(false, nowNanos);
        mAverages.put(
                upstream.id(),
                new Averages(
                        upstream,
                        voters.failureShare(),
                        voters.meanLogSlowness(),
                        voters.slownessWeight(),
                        nowNanos));
        evaluate(held, ejected, nowNanos);
    }

    /** Returns what is held of an incarnation, created if needed; null if it cannot be held. */
    private HeldEvidence hold(Incarnation upstream) {
        HeldEvidence held = mHeld.get(upstream.id());
        if (held != null && held.upstream().equals(upstream)) {
            return held;
        }
        if (held == null ? mHeld.size() >= MAX_UPSTREAMS : held.upstream().isNewerThan(upstream)) {
            return null;
        }
        forget(upstream.id());
        HeldEvidence added = new HeldEvidence(upstream);
        mHeld.put(upstream.id(), added);
        return added;
    }

    private void forget(String id) {
        mHeld.remove(id);
        mAverages.remove(id);
        mSuspected.remove(id);
        mHasSuspected = !mSuspected.isEmpty();
    }

    /** Applies the rule; returns the evidence that it was applied to. */
    private UpstreamEvidence evaluate(HeldEvidence held, List<String> ejected, long nowNanos) {
        UpstreamEvidence evidence = held.united(true, nowNanos);
        Ejection before = held.ejection();
        if (held.evaluate(evidence, mZones.getAsInt(), nowNanos)) {
            mEjections++;
            Ejection ejection = held.ejection();
            Duration lasts = Duration.ofNanos(ejection.untilNanos() - ejection.sinceNanos());
            ejected.add(
                    "upstream %s is ejected for %d ms: seen failing by %s, share %.2f"
                            .formatted(
                                    held.upstream(),
                                    lasts.toMillis(),
                                    evidence.witnesses().stream().map(Witness::instance).toList(),
                                    evidence.failureShare()));
        } else if (before.isInForce() && !held.ejection().isInForce()) {
            ejected.add("upstream %s is in service again".formatted(held.upstream()));
        }
        boolean failedRecently =
                !evidence.witnesses().isEmpty()
                        && evidence.witnesses().getFirst().ageMillis()
                                <= EjectionRule.WINDOW.toMillis();
        if (held.ejection().isInForce() || failedRecently) {
            mSuspected.add(held.upstream().id());
        } else {
            mSuspected.remove(held.upstream().id());
        }
        mHasSuspected = !mSuspected.isEmpty();
        return evidence;
    }

    private void removeOld(long nowNanos) {
        if (!mInForce.getAsBoolean()) {
            List.copyOf(mHeld.keySet()).forEach(this::forget);
            return;
        }
        if (nowNanos - mRemovedNanos < REMOVAL_INTERVAL.toNanos()) {
            return;
        }
        mRemovedNanos = nowNanos;
        for (HeldEvidence held : List.copyOf(mHeld.values())) {
            if (!held.retain(EvidenceMerger.RETENTION, nowNanos)) {
                forget(held.upstream().id());
            }
        }
    }

    private static void log(List<String> lines) {
        lines.forEach(line -> LOG.info("%s", line));
    }

    /**
     * Records the registered incarnation of an upstream; evidence of earlier ones is discarded.
     *
     * @param upstream the upstream and its incarnation
     */
    public void onRegistration(Incarnation upstream) {
        try (OrderedLock.Held _ = mLock.hold()) {
            if (mRegistered.size() > MAX_UPSTREAMS) {
                mRegistered.keySet().retainAll(mHeld.keySet());
            }
            mRegistered.put(upstream.id(), upstream);
            HeldEvidence held = mHeld.get(upstream.id());
            if (held != null && upstream.isNewerThan(held.upstream())) {
                forget(upstream.id());
                mDropped++;
            }
        }
    }

    /**
     * Records a success of this entry, which ends an ejection here before any digest does.
     *
     * @param upstream the upstream
     */
    public void succeeded(Incarnation upstream) {
        if (!mHasSuspected) {
            return;
        }
        observed(upstream, held -> held.ownSuccess(mClock.nanoTime()));
    }

    /**
     * Records a failure of this entry.
     *
     * @param upstream the upstream
     */
    public void failed(Incarnation upstream) {
        observed(
                upstream,
                held -> held.ownFailure(new Witness(mInstance, mZone, 0), mClock.nanoTime()));
    }

    private void observed(Incarnation upstream, Consumer<HeldEvidence> observation) {
        if (!mInForce.getAsBoolean()) {
            return;
        }
        List<String> ejected = new ArrayList<>();
        try (OrderedLock.Held _ = mLock.hold()) {
            HeldEvidence held = hold(upstream);
            if (held == null) {
                return;
            }
            observation.accept(held);
            evaluate(held, ejected, mClock.nanoTime());
        }
        log(ejected);
    }

    /**
     * Returns whether any upstream may be ejected, so that {@link #ejected} has to be asked.
     *
     * @return false if no upstream of any service is ejected
     */
    public boolean mayHaveEjected() {
        return mHasSuspected && mInForce.getAsBoolean();
    }

    /**
     * Returns the upstreams that this entry must not use now.
     *
     * @param available the available upstreams of a service and stage
     * @return the ids of the ejected ones, at most half of the available ones
     */
    public Set<String> ejected(Collection<Incarnation> available) {
        if (!mayHaveEjected()) {
            return Set.of();
        }
        List<String> ejected = new ArrayList<>();
        List<UpstreamEvidence> failing = new ArrayList<>();
        try (OrderedLock.Held _ = mLock.hold()) {
            long nowNanos = mClock.nanoTime();
            for (Incarnation upstream : available) {
                if (!mSuspected.contains(upstream.id())) {
                    continue;
                }
                HeldEvidence held = mHeld.get(upstream.id());
                if (held == null || !held.upstream().equals(upstream)) {
                    continue;
                }
                UpstreamEvidence evidence = evaluate(held, ejected, nowNanos);
                if (held.isAvoided(evidence, mInstance, nowNanos)) {
                    failing.add(evidence);
                }
            }
        }
        log(ejected);
        return EjectionRule.withinLimit(failing, available.size());
    }

    /**
     * Records that a request is sent to an upstream. If its ejection has ended, this is the probe,
     * and no second one is sent before its result.
     *
     * @param upstream the upstream
     */
    public void chosen(Incarnation upstream) {
        if (!mayHaveEjected()) {
            return;
        }
        try (OrderedLock.Held _ = mLock.hold()) {
            HeldEvidence held = mHeld.get(upstream.id());
            long nowNanos = mClock.nanoTime();
            if (held != null
                    && held.upstream().equals(upstream)
                    && held.ejection().isHalfOpen(nowNanos)) {
                held.beginProbe(nowNanos);
            }
        }
    }

    /**
     * Returns the slowness of an engine.
     *
     * @param id id of the engine; evidence is only held of its registered incarnation
     * @return the factor by which it takes longer than the mean of its service
     */
    public double slowness(String id) {
        Averages averages = averages(id);
        if (averages == null) {
            return SlownessRule.NOMINAL;
        }
        double weight = SlownessRule.weight(mClock.nanoTime() - averages.atNanos());
        return SlownessRule.slowness(
                averages.meanLogSlowness(), weight * averages.slownessWeight());
    }

    /**
     * Returns the share of the requests of all entries that fail at an upstream.
     *
     * @param id id of the upstream
     * @return from 0 to 1
     */
    public double failureShare(String id) {
        Averages averages = averages(id);
        return averages == null
                ? 0
                : averages.failureShare()
                        * SlownessRule.weight(mClock.nanoTime() - averages.atNanos());
    }

    private Averages averages(String id) {
        return mInForce.getAsBoolean() ? mAverages.get(id) : null;
    }

    /** Returns the counters, for the log. */
    @Override
    public String toString() {
        try (OrderedLock.Held _ = mLock.hold()) {
            return "%d digests, %d ejections, %d upstreams held, %d dropped"
                    .formatted(mDigests, mEjections, mHeld.size(), mDropped);
        }
    }
}
