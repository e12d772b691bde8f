/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.path;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.internal.http.Peer;

/**
 * When each upstream was last heard on a direct connection, and when a silent one was last probed.
 * Thread-safe.
 */
final class SilentUpstreams {
    /** Bounds of the silence of all upstreams that puts the path in doubt. */
    private static final Duration MIN_SILENCE = Duration.ofMillis(250);

    private static final Duration MAX_SILENCE = Duration.ofMillis(450);

    /** Multiple of the mean response time after which few calls are still unanswered. */
    private static final int SILENCE_FACTOR = 3;

    /** Smoothing factor of the mean response time. */
    private static final double SMOOTHING = 1.0 / 16;

    /** Silence of all upstreams that is a sign of a lost path whatever calls take. */
    private static final Duration LONG_SILENCE = Duration.ofSeconds(2);

    /** Interval between two probes of one upstream. */
    private static final Duration PROBE_INTERVAL = Duration.ofSeconds(1);

    /** Upstreams beyond which those not heard for long are forgotten. */
    private static final int MAX_UPSTREAMS = 1_024;

    private static final Duration RETENTION = Duration.ofSeconds(10);

    private final Map<Peer, Long> mHeardNanos = new ConcurrentHashMap<>();
    private final Map<Peer, Long> mProbedNanos = new ConcurrentHashMap<>();
    private final MonotonicClock mClock;
    private volatile long mHeardAnyNanos;
    private volatile double mMeanResponseNanos;

    SilentUpstreams(MonotonicClock clock) {
        mClock = clock;
        mHeardAnyNanos = clock.nanoTime();
    }

    /** Records how long an upstream took to respond. Concurrent updates may be lost. */
    void responded(Duration took) {
        double mean = mMeanResponseNanos;
        mMeanResponseNanos = mean + SMOOTHING * (took.toNanos() - mean);
    }

    private long silenceNanos() {
        return Math.clamp(
                (long) (SILENCE_FACTOR * mMeanResponseNanos),
                MIN_SILENCE.toNanos(),
                MAX_SILENCE.toNanos());
    }

    /** Records that an upstream was heard. */
    void heard(Peer upstream) {
        long nowNanos = mClock.nanoTime();
        mHeardAnyNanos = nowNanos;
        mHeardNanos.put(upstream, nowNanos);
        if (mHeardNanos.size() > MAX_UPSTREAMS) {
            mHeardNanos.values().removeIf(at -> nowNanos - at > RETENTION.toNanos());
        }
    }

    /** Records that some upstream was reached. */
    void heardAny() {
        mHeardAnyNanos = mClock.nanoTime();
    }

    /** Returns whether no upstream has been heard lately. */
    boolean areAllSilent() {
        return mClock.nanoTime() - mHeardAnyNanos >= silenceNanos();
    }

    /** Returns whether no upstream has been heard for so long that the path is most likely lost. */
    boolean areAllSilentForLong() {
        return mClock.nanoTime() - mHeardAnyNanos >= LONG_SILENCE.toNanos();
    }

    /** Returns the time since which an upstream counts as silent. */
    long silentSinceNanos() {
        return mClock.nanoTime() - silenceNanos();
    }

    /**
     * Returns whether a silent upstream is to be probed now, and records that it is. A single one
     * is heard less often than all together, so it may be silent for longer.
     */
    boolean tryBeginProbe(Peer upstream) {
        long nowNanos = mClock.nanoTime();
        Long heardNanos = mHeardNanos.get(upstream);
        if (heardNanos != null && nowNanos - heardNanos < MAX_SILENCE.toNanos()) {
            return false;
        }
        mProbedNanos.values().removeIf(at -> nowNanos - at >= PROBE_INTERVAL.toNanos());
        return mProbedNanos.putIfAbsent(upstream, nowNanos) == null;
    }
}
