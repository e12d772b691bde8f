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
 * Local rate limiter for upstreams, used while no owner counts for all instances: each instance
 * sends an equal share of half of the limit.
 *
 * <p>The share is often less than one request for as long as this state lasts, so the first request
 * waits for a random part of the interval between two requests. The sum over all instances
 * therefore does not exceed that half, whichever of them have requests. Thread-safe.
 */
final class LocalRateLimiter {
    /**
     * Share of a limit that all instances without an owner send together. They send in addition to
     * the instances that can reach the owner, and upstreams tolerate half more than their limit.
     */
    private static final double LOCAL_SHARE = 0.5;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final OrderedLock mLock = new OrderedLock(LockRank.UPSTREAM_LIMITS);
    private final IntSupplier mInstances;
    private final RandomGenerator mRandom;
    private final MonotonicClock mClock;

    /** Monotonic time of the next permitted request; a time long past is stale. */
    private final Map<Incarnation, Long> mNextNanos = new HashMap<>();

    LocalRateLimiter(IntSupplier instances, RandomGenerator random, MonotonicClock clock) {
        mInstances = instances;
        mRandom = random;
        mClock = clock;
    }

    /**
     * Acquires the permission to send one request.
     *
     * @param upstream incarnation of the upstream
     * @param perSecond rate that it accepts from all instances, above 0
     * @return time to wait before the next attempt; zero if the request may be sent now
     */
    Duration acquire(Incarnation upstream, double perSecond) {
        long nowNanos = mClock.nanoTime();
        double rate = LOCAL_SHARE * perSecond;
        long intervalNanos =
                (long) Millis.toNanos(MILLIS_PER_SECOND * mInstances.getAsInt() / rate);
        try (OrderedLock.Held _ = mLock.hold()) {
            Long known = mNextNanos.get(upstream);
            boolean isCurrent = known != null && nowNanos - known <= intervalNanos;
            long nextNanos =
                    isCurrent ? known : nowNanos + (long) (mRandom.nextDouble() * intervalNanos);
            boolean mayBeSent = nowNanos - nextNanos >= 0;
            mNextNanos.put(upstream, mayBeSent ? nextNanos + intervalNanos : nextNanos);
            return mayBeSent ? Duration.ZERO : Duration.ofNanos(nextNanos - nowNanos);
        }
    }

    /** Removes upstreams that have ended. */
    void forget(Predicate<Incarnation> hasEnded) {
        try (OrderedLock.Held _ = mLock.hold()) {
            mNextNanos.keySet().removeIf(hasEnded);
        }
    }
}
