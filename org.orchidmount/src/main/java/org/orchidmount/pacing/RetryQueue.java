/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.pacing;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.internal.lock.LockRank;
import org.orchidmount.internal.lock.OrderedLock;

/**
 * Schedules the retries of refused callers, so that each finds capacity after those that were
 * refused before it. One queue per service. Thread-safe.
 */
final class RetryQueue {
    private final OrderedLock mLock = new OrderedLock(LockRank.UPSTREAM_LIMITS);
    private final MonotonicClock mClock;
    private final Map<String, Long> mLastNanos = new HashMap<>();

    RetryQueue(MonotonicClock clock) {
        mClock = clock;
    }

    /**
     * Assigns a retry time to a caller.
     *
     * @param service name of the service
     * @param untilCapacity time until this instance has capacity for the next request
     * @param interval interval between two requests for which this instance has capacity
     * @param maxWait how long the caller can wait; one that cannot wait for its retry time takes no
     *     place in the queue
     * @return time after which to retry
     */
    Duration join(String service, Duration untilCapacity, Duration interval, Duration maxWait) {
        long nowNanos = mClock.nanoTime();
        long firstNanos = nowNanos + untilCapacity.toNanos();
        try (OrderedLock.Held _ = mLock.hold()) {
            Long lastNanos = mLastNanos.get(service);
            long nextNanos = firstNanos;
            if (lastNanos != null && lastNanos + interval.toNanos() - firstNanos > 0) {
                nextNanos = lastNanos + interval.toNanos();
            }
            Duration wait = Duration.ofNanos(nextNanos - nowNanos);
            if (wait.compareTo(maxWait) <= 0) {
                mLastNanos.put(service, nextNanos);
            }
            return wait;
        }
    }
}
