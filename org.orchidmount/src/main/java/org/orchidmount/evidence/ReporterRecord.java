/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.evidence;

/**
 * The outcomes that one entry has reported of all upstreams together, decayed with {@link
 * SlownessRule#HALF_LIFE}. An entry for which most requests fail, at whatever upstream, has faulty
 * links or reports falsely. Confined to the thread of {@link EvidenceMerger}.
 */
final class ReporterRecord {
    /** Decayed number of failures from which an entry may be found unreliable. */
    private static final double MIN_FAILURES = 2.5;

    private double mSuccesses;
    private double mFailures;
    private long mDecayedNanos;

    ReporterRecord(long nowNanos) {
        mDecayedNanos = nowNanos;
    }

    /** Adds the outcomes of one upstream in a report. */
    void add(UpstreamObservations observed, long nowNanos) {
        double weight = SlownessRule.weight(nowNanos - mDecayedNanos);
        mDecayedNanos = nowNanos;
        mSuccesses = weight * mSuccesses + Math.max(0, observed.successes());
        mFailures =
                weight * mFailures
                        + Math.max(0, observed.failures())
                        + Math.max(0, observed.unreachable());
    }

    /** Returns whether most of its requests fail, so that it is no witness. */
    boolean isUnreliable() {
        return mFailures >= MIN_FAILURES && mFailures > mSuccesses;
    }

    long latestNanos() {
        return mDecayedNanos;
    }
}
