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
 * When refused callers are to come back, so that each finds room behind those that were refused
 * before it. One queue a service. Thread-safe.
 */
final class ReturnQueue {
    private final OrderedLock mLock = new OrderedLock(LockRank.UPSTREAM_LIMITS);
    private final MonotonicClock mClock;
    private final Map<String, Long> mLastNanos = new HashMap<>();

    ReturnQueue(MonotonicClock clock) {
        mClock = clock;
    }

    /**
     * Gives a caller its time.
     *
     * @param service the service
     * @param untilRoom when there is room here for the next request
     * @param pause the time between two requests for which there is room here
     * @param longest how long the caller can wait; one that cannot wait so long does not come back
     *     and takes no place in the queue
     * @return when to come back
     */
    Duration join(String service, Duration untilRoom, Duration pause, Duration longest) {
        long nowNanos = mClock.nanoTime();
        long firstNanos = nowNanos + untilRoom.toNanos();
        try (OrderedLock.Held _ = mLock.hold()) {
            Long lastNanos = mLastNanos.get(service);
            long nextNanos = firstNanos;
            if (lastNanos != null && lastNanos + pause.toNanos() - firstNanos > 0) {
                nextNanos = lastNanos + pause.toNanos();
            }
            Duration wait = Duration.ofNanos(nextNanos - nowNanos);
            if (wait.compareTo(longest) <= 0) {
                mLastNanos.put(service, nextNanos);
            }
            return wait;
        }
    }
}
