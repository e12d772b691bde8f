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
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.internal.lock.LockRank;
import org.orchidmount.internal.lock.OrderedLock;
import org.orchidmount.membership.Incarnation;

/**
 * Counts what this entry observes of each incarnation of an upstream until it is reported.
 *
 * <p>Invariants: nothing is counted while shared evidence is not in force; at most {@link
 * #MAX_PENDING} upstreams are held; upstreams with failures are reported first. Thread-safe.
 */
public final class EvidenceCollector implements EvidenceSource {
    /** Number of upstreams held for reports; observations of further ones are not counted. */
    static final int MAX_PENDING = 1_024;

    /** Time after a reported failure in which further ones of that upstream are not urgent. */
    private static final Duration URGENT_INTERVAL = Duration.ofSeconds(1);

    private final OrderedLock mLock = new OrderedLock(LockRank.EVIDENCE);
    private final Map<Incarnation, UpstreamObservations> mPending = new HashMap<>();

    /** When a failure of an upstream was last reported; bounded by removing the old ones. */
    private final Map<Incarnation, Long> mReportedNanos = new HashMap<>();

    private final BooleanSupplier mInForce;
    private final MonotonicClock mClock;
    private volatile Runnable mUrgentAction = () -> {};
    private boolean mIsUrgent;
    private long mReports;
    private long mDropped;

    /**
     * Creates a collector without observations.
     *
     * @param inForce whether shared evidence is in force
     * @param clock the clock
     */
    public EvidenceCollector(BooleanSupplier inForce, MonotonicClock clock) {
        mInForce = inForce;
        mClock = clock;
    }

    /**
     * Counts a request that an upstream has answered with success.
     *
     * @param upstream the upstream
     */
    public void succeeded(Incarnation upstream) {
        count(new UpstreamObservations(upstream, 1, 0, 0, 0, 0));
    }

    /**
     * Counts a request that failed and that the upstream may have run.
     *
     * @param upstream the upstream
     */
    public void failed(Incarnation upstream) {
        count(new UpstreamObservations(upstream, 0, 1, 0, 0, 0));
    }

    /**
     * Counts a call for which no connection or no response came.
     *
     * @param upstream the upstream
     */
    public void unreachable(Incarnation upstream) {
        count(new UpstreamObservations(upstream, 0, 0, 1, 0, 0));
    }

    /**
     * Counts a measured piece of work.
     *
     * @param upstream the upstream
     * @param tookMillis time that the work took
     * @param nominalMillis time expected at the mean speed of the service
     */
    public void measured(Incarnation upstream, double tookMillis, double nominalMillis) {
        double log = SlownessRule.logRatio(tookMillis, nominalMillis);
        count(new UpstreamObservations(upstream, 0, 0, 0, log, 1));
    }

    private void count(UpstreamObservations observed) {
        if (!mInForce.getAsBoolean()) {
            return;
        }
        boolean becameUrgent;
        try (OrderedLock.Held _ = mLock.hold()) {
            if (mPending.size() >= MAX_PENDING && !mPending.containsKey(observed.upstream())) {
                mDropped++;
                return;
            }
            mPending.merge(observed.upstream(), observed, EvidenceCollector::sum);
            becameUrgent = !mIsUrgent && hasFailure(observed) && isUnreported(observed);
            mIsUrgent |= becameUrgent;
        }
        if (becameUrgent) {
            mUrgentAction.run();
        }
    }

    private static UpstreamObservations sum(UpstreamObservations a, UpstreamObservations b) {
        return new UpstreamObservations(
                a.upstream(),
                a.successes() + b.successes(),
                a.failures() + b.failures(),
                a.unreachable() + b.unreachable(),
                a.logSlownessSum() + b.logSlownessSum(),
                a.slownessCount() + b.slownessCount());
    }

    private static boolean hasFailure(UpstreamObservations observed) {
        return observed.failures() + observed.unreachable() > 0;
    }

    private boolean isUnreported(UpstreamObservations observed) {
        Long reported = mReportedNanos.get(observed.upstream());
        return reported == null || mClock.nanoTime() - reported >= URGENT_INTERVAL.toNanos();
    }

    @Override
    public Optional<EvidenceReport> drain() {
        try (OrderedLock.Held _ = mLock.hold()) {
            mIsUrgent = false;
            if (!mInForce.getAsBoolean()) {
                mPending.clear();
                mReportedNanos.clear();
            }
            if (mPending.isEmpty()) {
                return Optional.empty();
            }
            List<UpstreamObservations> reported = new ArrayList<>(mPending.values());
            reported.sort(Comparator.comparing(observed -> !hasFailure(observed)));
            if (reported.size() > EvidenceReport.MAX_UPSTREAMS) {
                reported.subList(EvidenceReport.MAX_UPSTREAMS, reported.size()).clear();
            }
            reported.forEach(observed -> mPending.remove(observed.upstream()));
            recordReported(reported);
            mIsUrgent =
                    mPending.values().stream()
                            .anyMatch(left -> hasFailure(left) && isUnreported(left));
            mReports++;
            return Optional.of(new EvidenceReport(reported));
        }
    }

    private void recordReported(List<UpstreamObservations> reported) {
        long nowNanos = mClock.nanoTime();
        mReportedNanos.values().removeIf(before -> nowNanos - before >= URGENT_INTERVAL.toNanos());
        for (UpstreamObservations observed : reported) {
            if (hasFailure(observed)) {
                mReportedNanos.put(observed.upstream(), nowNanos);
            }
        }
    }

    @Override
    public boolean isUrgent() {
        try (OrderedLock.Held _ = mLock.hold()) {
            return mIsUrgent;
        }
    }

    @Override
    public void onUrgent(Runnable action) {
        mUrgentAction = action;
    }

    /** Returns the counters, for the log. */
    @Override
    public String toString() {
        try (OrderedLock.Held _ = mLock.hold()) {
            return "%d reports, %d observations dropped".formatted(mReports, mDropped);
        }
    }
}
