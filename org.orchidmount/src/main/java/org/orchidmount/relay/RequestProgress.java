/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.internal.log.PartLog;

/**
 * Tracks what one request waits for, so that the log shows what was under way when its caller
 * disconnected and how long the request continued after that.
 *
 * <p>Invariant: writes at most two log lines per request. Thread-safe: the request's thread writes
 * the current activity, and the thread that detects the disconnection reads it.
 */
final class RequestProgress {
    private static final PartLog LOG = PartLog.of("departure");

    private static final String NO_UPSTREAM = "no upstream";

    private final MonotonicClock mClock;
    private final String mRequestId;
    private final long mArrivedNanos;
    private volatile Current mCurrent;
    private volatile Departure mDeparture;

    /** Total time waited for each activity, in nanoseconds. Confined to the request's thread. */
    private final Map<Activity, Long> mWaitedNanos = new EnumMap<>(Activity.class);

    /** What a request may wait for. */
    enum Activity {
        /** A placement at an upstream. */
        PLACEMENT,
        /** A reservation of memory at an engine. */
        RESERVATION,
        /** An engine that prefills the prompt. */
        PREFILL,
        /** A connection to the upstream, and the request to be written to it. */
        SENDING,
        /** The head of the upstream's response. */
        RESPONSE,
        /** The rest of the response, or the caller to receive it. */
        BODY
    }

    private record Current(Activity activity, String upstreamId, long startedNanos) {}

    private record Departure(long atNanos) {}

    RequestProgress(MonotonicClock clock, String requestId) {
        mClock = clock;
        mRequestId = requestId;
        mArrivedNanos = clock.nanoTime();
        mCurrent = new Current(Activity.PLACEMENT, NO_UPSTREAM, mArrivedNanos);
    }

    /** Records that the request now waits for an activity that involves no upstream. */
    void startWaiting(Activity activity) {
        startWaiting(activity, NO_UPSTREAM);
    }

    /** Records that the request now waits for an upstream. */
    void startWaiting(Activity activity, String upstreamId) {
        long nowNanos = mClock.nanoTime();
        addWaited(nowNanos);
        mCurrent = new Current(activity, upstreamId, nowNanos);
    }

    private void addWaited(long nowNanos) {
        Current before = mCurrent;
        mWaitedNanos.merge(before.activity(), nowNanos - before.startedNanos(), Long::sum);
    }

    /**
     * Returns the total time that the request has waited for an activity, without a wait that is
     * still under way.
     */
    Duration waited(Activity activity) {
        return Duration.ofNanos(mWaitedNanos.getOrDefault(activity, 0L));
    }

    /** Returns how long ago the request arrived. */
    Duration age() {
        return Duration.ofNanos(mClock.nanoTime() - mArrivedNanos);
    }

    /** Logs that the caller has disconnected. */
    void callerLeft() {
        long nowNanos = mClock.nanoTime();
        mDeparture = new Departure(nowNanos);
        Current current = mCurrent;
        LOG.info(
                "%s: the caller disconnected after %d ms, during %s at %s for %d ms",
                mRequestId,
                millis(nowNanos - mArrivedNanos),
                current.activity(),
                current.upstreamId(),
                millis(nowNanos - current.startedNanos()));
    }

    /** Logs how long the request continued after its caller disconnected, if it did. */
    void ended() {
        Departure departure = mDeparture;
        if (departure != null) {
            Current current = mCurrent;
            LOG.info(
                    "%s: ended %d ms after the caller disconnected, last during %s at %s",
                    mRequestId,
                    millis(mClock.nanoTime() - departure.atNanos()),
                    current.activity(),
                    current.upstreamId());
        }
    }

    private static long millis(long nanos) {
        return Duration.ofNanos(nanos).toMillis();
    }
}
