/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.evidence;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.orchidmount.evidence.UpstreamEvidence.Witness;
import org.orchidmount.membership.Incarnation;

/**
 * What a voter has merged about one incarnation of an upstream. Counts and measurements decay with
 * {@link SlownessRule#HALF_LIFE}. Confined to the thread of {@link EvidenceMerger}.
 */
final class MergedUpstream {
    /**
     * Number of requests that one report can count as. A single entry, whose own links or clock may
     * be at fault, thus cannot outweigh the others.
     */
    private static final int MAX_REQUESTS_PER_REPORT = 16;

    /**
     * Factor by which the slowness must have changed to be sent again. Smaller changes alter no
     * choice, and each digest costs every entry processor time.
     */
    private static final double MIN_CHANGE = 1.05;

    /** Number of entries whose latest failure is kept; the oldest is dropped. */
    private static final int MAX_FAILED_ENTRIES = 64;

    private final Incarnation mUpstream;
    private final Map<String, Failure> mFailures = new HashMap<>();
    private boolean mHasSucceeded;
    private long mSuccessNanos;
    private double mSuccesses;
    private double mFailed;
    private double mLogSum;
    private double mLogWeight;
    private long mDecayedNanos;
    private long mReportedNanos;
    private double mSentSlowness = SlownessRule.NOMINAL;
    private boolean mIsChanged;
    private boolean mHasNewFailure;

    /**
     * The latest failure that an entry has reported.
     *
     * @param zone availability zone of the entry
     * @param atNanos monotonic time at which the report arrived
     */
    private record Failure(String zone, long atNanos) {}

    MergedUpstream(Incarnation upstream, long nowNanos) {
        mUpstream = upstream;
        mDecayedNanos = nowNanos;
        mReportedNanos = nowNanos;
    }

    Incarnation upstream() {
        return mUpstream;
    }

    long reportedNanos() {
        return mReportedNanos;
    }

    boolean isChanged() {
        return mIsChanged;
    }

    boolean hasNewFailure() {
        return mHasNewFailure;
    }

    void merge(String instance, String zone, UpstreamObservations observed, long nowNanos) {
        decay(nowNanos);
        mReportedNanos = nowNanos;
        double successes = Math.max(0, observed.successes());
        double failed =
                (double) Math.max(0, observed.failures()) + Math.max(0, observed.unreachable());
        double scale = Math.min(1, MAX_REQUESTS_PER_REPORT / Math.max(1, successes + failed));
        mSuccesses += scale * successes;
        mFailed += scale * failed;
        mergeSlowness(observed);
        if (successes > 0) {
            mHasSucceeded = true;
            mSuccessNanos = nowNanos;
            // A success is of interest only if it can end an ejection.
            mIsChanged |= !mFailures.isEmpty();
        }
        if (failed > 0) {
            addFailure(instance, new Failure(zone, nowNanos));
            mIsChanged = true;
            mHasNewFailure = true;
        }
    }

    private void mergeSlowness(UpstreamObservations observed) {
        int count = Math.min(MAX_REQUESTS_PER_REPORT, observed.slownessCount());
        if (count <= 0 || !Double.isFinite(observed.logSlownessSum())) {
            return;
        }
        double bound = Math.log(SlownessRule.MAX);
        double mean =
                Math.clamp(observed.logSlownessSum() / observed.slownessCount(), -bound, bound);
        mLogSum += count * mean;
        mLogWeight += count;
        double change = slowness() / mSentSlowness;
        mIsChanged |= Math.max(change, 1 / change) > MIN_CHANGE;
    }

    private double slowness() {
        return mLogWeight > 0
                ? SlownessRule.slowness(mLogSum / mLogWeight, mLogWeight)
                : SlownessRule.NOMINAL;
    }

    private void addFailure(String instance, Failure failure) {
        mFailures.put(instance, failure);
        if (mFailures.size() > MAX_FAILED_ENTRIES) {
            mFailures.entrySet().stream()
                    .min(Comparator.comparingLong(entry -> entry.getValue().atNanos()))
                    .ifPresent(oldest -> mFailures.remove(oldest.getKey()));
        }
    }

    /** Withdraws the failure of an entry that has turned out to be unreliable. */
    void removeWitness(String instance) {
        mIsChanged |= mFailures.remove(instance) != null;
    }

    private void decay(long nowNanos) {
        double weight = SlownessRule.weight(nowNanos - mDecayedNanos);
        mSuccesses *= weight;
        mFailed *= weight;
        mLogSum *= weight;
        mLogWeight *= weight;
        mDecayedNanos = nowNanos;
    }

    /** Returns the evidence with ages as of now, and marks it as sent. */
    UpstreamEvidence send(Duration retention, long nowNanos) {
        mIsChanged = false;
        mHasNewFailure = false;
        decay(nowNanos);
        mSentSlowness = slowness();
        mFailures.values().removeIf(failure -> nowNanos - failure.atNanos() > retention.toNanos());
        double requests = mSuccesses + mFailed;
        return new UpstreamEvidence(
                mUpstream,
                witnesses(nowNanos),
                mHasSucceeded ? millis(nowNanos - mSuccessNanos) : UpstreamEvidence.NEVER,
                requests > 0 ? mFailed / requests : 0,
                mLogWeight > 0 ? mLogSum / mLogWeight : 0,
                mLogWeight);
    }

    /** The newest witness of each zone comes before the second one of any zone. */
    private List<Witness> witnesses(long nowNanos) {
        List<Witness> all = new ArrayList<>();
        mFailures.forEach(
                (instance, failure) ->
                        all.add(
                                new Witness(
                                        instance,
                                        failure.zone(),
                                        millis(nowNanos - failure.atNanos()))));
        Comparator<Witness> newestFirst =
                Comparator.comparingLong(Witness::ageMillis).thenComparing(Witness::instance);
        all.sort(newestFirst);
        List<Witness> kept = new ArrayList<>();
        Set<String> zones = new HashSet<>();
        all.stream().filter(witness -> zones.add(witness.zone())).forEach(kept::add);
        all.stream().filter(witness -> !kept.contains(witness)).forEach(kept::add);
        return kept.stream().limit(UpstreamEvidence.MAX_WITNESSES).sorted(newestFirst).toList();
    }

    private static long millis(long nanos) {
        return Duration.ofNanos(Math.max(0, nanos)).toMillis();
    }
}
