/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.evidence;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.orchidmount.membership.Incarnation;

/**
 * Merges the reports of entries at a voter.
 *
 * <p>Invariants: evidence is only about the newest incarnation that was registered or reported; an
 * upstream without a report for {@link #RETENTION} is forgotten; at most {@link #MAX_UPSTREAMS} are
 * held. A digest contains upstreams with new failures first, then those whose change has waited
 * longest. The failures that an entry reports do not count while most of its requests fail.
 * Confined to the voter's thread.
 */
public final class EvidenceMerger implements ReportMerger {
    /** Time without a report after which an upstream is forgotten. */
    static final Duration RETENTION = Duration.ofSeconds(60);

    /** Number of upstreams held; slightly above the 7,800 for which the system is designed. */
    static final int MAX_UPSTREAMS = 8_192;

    /** Number of reporting entries held; above the 360 for which the system is designed. */
    private static final int MAX_REPORTERS = 1_024;

    /** Interval between two removals of upstreams that are no longer reported. */
    private static final Duration REMOVAL_INTERVAL = Duration.ofSeconds(5);

    /** New failures first; the sort is stable and keeps the order of the map otherwise. */
    private static final Comparator<MergedUpstream> FAILURES_FIRST =
            Comparator.comparing(merged -> !merged.hasNewFailure());

    /** The upstreams by id; those sent most recently last. */
    private final Map<String, MergedUpstream> mUpstreams = new LinkedHashMap<>();

    private final Map<String, Incarnation> mRegistered = new HashMap<>();

    /** What each entry has reported of all upstreams; bounded by {@link #MAX_REPORTERS}. */
    private final Map<String, ReporterRecord> mReporters = new HashMap<>();

    private long mRemovedNanos;
    private boolean mHasNewFailures;
    private long mReports;
    private long mDigests;
    private long mDropped;

    /**
     * Creates a merger without evidence.
     *
     * @param nowNanos current monotonic time
     */
    public EvidenceMerger(long nowNanos) {
        mRemovedNanos = nowNanos;
    }

    @Override
    public void merge(String instance, String zone, EvidenceReport report, long nowNanos) {
        mReports++;
        removeForgotten(nowNanos);
        report.observations().stream()
                .limit(EvidenceReport.MAX_UPSTREAMS)
                .forEach(observed -> merge(instance, zone, observed, nowNanos));
    }

    private void merge(String instance, String zone, UpstreamObservations observed, long nowNanos) {
        boolean isUnreliable = isUnreliable(instance, observed, nowNanos);
        Incarnation upstream = observed.upstream();
        Incarnation registered = mRegistered.getOrDefault(upstream.id(), upstream);
        MergedUpstream held = mUpstreams.get(upstream.id());
        boolean hasEnded =
                registered.isNewerThan(upstream)
                        || held != null && held.upstream().isNewerThan(upstream);
        if (hasEnded || held == null && mUpstreams.size() >= MAX_UPSTREAMS) {
            mDropped++;
            return;
        }
        if (held == null || !held.upstream().equals(upstream)) {
            held = new MergedUpstream(upstream, nowNanos);
            mUpstreams.put(upstream.id(), held);
        }
        held.merge(instance, zone, isUnreliable ? withoutFailures(observed) : observed, nowNanos);
        mHasNewFailures |= held.hasNewFailure();
    }

    private boolean isUnreliable(String instance, UpstreamObservations observed, long nowNanos) {
        if (mReporters.size() >= MAX_REPORTERS && !mReporters.containsKey(instance)) {
            return false;
        }
        ReporterRecord reporter =
                mReporters.computeIfAbsent(instance, name -> new ReporterRecord(nowNanos));
        boolean wasUnreliable = reporter.isUnreliable();
        reporter.add(observed, nowNanos);
        if (reporter.isUnreliable() && !wasUnreliable) {
            mUpstreams.values().forEach(held -> held.removeWitness(instance));
        }
        return reporter.isUnreliable();
    }

    private static UpstreamObservations withoutFailures(UpstreamObservations observed) {
        return new UpstreamObservations(
                observed.upstream(),
                observed.successes(),
                0,
                0,
                observed.logSlownessSum(),
                observed.slownessCount());
    }

    @Override
    public void onRegistration(Incarnation upstream) {
        if (mRegistered.size() > MAX_UPSTREAMS) {
            mRegistered.keySet().retainAll(mUpstreams.keySet());
        }
        mRegistered.put(upstream.id(), upstream);
        MergedUpstream held = mUpstreams.get(upstream.id());
        if (held != null && upstream.isNewerThan(held.upstream())) {
            mUpstreams.remove(upstream.id());
            mDropped++;
        }
    }

    @Override
    public boolean hasNewFailures() {
        return mHasNewFailures;
    }

    @Override
    public Optional<EvidenceDigest> digest(long nowNanos) {
        removeForgotten(nowNanos);
        List<MergedUpstream> sent =
                mUpstreams.values().stream()
                        .filter(MergedUpstream::isChanged)
                        .sorted(FAILURES_FIRST)
                        .limit(EvidenceDigest.MAX_UPSTREAMS)
                        .toList();
        List<UpstreamEvidence> evidence =
                sent.stream().map(merged -> merged.send(RETENTION, nowNanos)).toList();
        for (MergedUpstream merged : sent) {
            mUpstreams.remove(merged.upstream().id());
            mUpstreams.put(merged.upstream().id(), merged);
        }
        mHasNewFailures = mUpstreams.values().stream().anyMatch(MergedUpstream::hasNewFailure);
        if (evidence.isEmpty()) {
            return Optional.empty();
        }
        mDigests++;
        return Optional.of(new EvidenceDigest(evidence));
    }

    private void removeForgotten(long nowNanos) {
        if (nowNanos - mRemovedNanos < REMOVAL_INTERVAL.toNanos()) {
            return;
        }
        mRemovedNanos = nowNanos;
        mUpstreams.values().removeIf(held -> nowNanos - held.reportedNanos() > RETENTION.toNanos());
    }

    /** Returns the counters, for the log. */
    @Override
    public String toString() {
        return "%d reports, %d digests, %d upstreams held, %d dropped"
                .formatted(mReports, mDigests, mUpstreams.size(), mDropped);
    }
}
