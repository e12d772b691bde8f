/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.pacing;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.orchidmount.clock.Millis;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.internal.lock.LockRank;
import org.orchidmount.internal.lock.OrderedLock;
import org.orchidmount.membership.Incarnation;

/**
 * What this instance sends to upstreams while nobody counts for all: an equal part of half of what
 * each takes.
 *
 * <p>The part is often less than one request in the time that this lasts, so its first request
 * waits a random part of the pause between two: so the sum over all instances is no more than that
 * half, whichever of them have requests. Thread-safe.
 */
final class LonePace {
    /**
     * The part of what an upstream takes that all instances together send it alone: those that
     * cannot reach the owner go on beside those that can, and half more is borne.
     */
    private static final double LONE_SHARE = 0.5;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final OrderedLock mLock = new OrderedLock(LockRank.UPSTREAM_LIMITS);
    private final IntSupplier mInstances;
    private final RandomGenerator mRandom;
    private final MonotonicClock mClock;

    /** When the next request may be sent; one that is long past is of an earlier time. */
    private final Map<Incarnation, Long> mNextNanos = new HashMap<>();

    LonePace(IntSupplier instances, RandomGenerator random, MonotonicClock clock) {
        mInstances = instances;
        mRandom = random;
        mClock = clock;
    }

    /**
     * Takes the right to send one request.
     *
     * @param upstream the upstream
     * @param perSecond what it takes from all instances, above 0
     * @return how long to wait before asking again; zero if one may be sent now
     */
    Duration take(Incarnation upstream, double perSecond) {
        long nowNanos = mClock.nanoTime();
        double rate = LONE_SHARE * perSecond;
        long pauseNanos = (long) Millis.toNanos(MILLIS_PER_SECOND * mInstances.getAsInt() / rate);
        try (OrderedLock.Held _ = mLock.hold()) {
            Long known = mNextNanos.get(upstream);
            boolean isCurrent = known != null && nowNanos - known <= pauseNanos;
            long nextNanos =
                    isCurrent ? known : nowNanos + (long) (mRandom.nextDouble() * pauseNanos);
            boolean mayBeSent = nowNanos - nextNanos >= 0;
            mNextNanos.put(upstream, mayBeSent ? nextNanos + pauseNanos : nextNanos);
            return mayBeSent ? Duration.ZERO : Duration.ofNanos(nextNanos - nowNanos);
        }
    }

    /** Forgets upstreams that have ended. */
    void forget(Predicate<Incarnation> hasEnded) {
        try (OrderedLock.Held _ = mLock.hold()) {
            mNextNanos.keySet().removeIf(hasEnded);
        }
    }
}
