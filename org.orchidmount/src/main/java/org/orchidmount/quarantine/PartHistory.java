/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.quarantine;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.internal.lock.LockRank;
import org.orchidmount.internal.lock.OrderedLock;

/**
 * What one instance knows in favour of parts of prompts. A part that crashes engines crashes each
 * one that begins to write an answer, so a part with which one has written an answer is no suspect,
 * whatever crashes it is present at; and neither is one that nearly all prompts of a route share.
 *
 * <p>Invariant: holds a bounded number of parts, the least recently used are forgotten first.
 * Thread-safe.
 */
public final class PartHistory {
    /** Time for which an answer is written before its parts are proven; crashes take far less. */
    public static final Duration PROVEN_AFTER = Duration.ofSeconds(1);

    /** Time after which a proven part must be proven again: engines may have been replaced. */
    private static final Duration RETENTION = Duration.ofMinutes(10);

    private static final int MAX_PARTS = 16_384;

    /** Routes whose recent prompts are held; tables name new ones all day. */
    private static final int MAX_ROUTES = 512;

    /** Recent prompts of a route that are looked at. */
    private static final int RECENT_PROMPTS = 64;

    /** Prompts without which nothing is said of what they share. */
    private static final int MIN_PROMPTS = 8;

    private static final double COMMON_SHARE = 0.9;

    private final OrderedLock mLock = new OrderedLock(LockRank.QUARANTINE);
    private final MonotonicClock mClock;
    private final Map<String, Recent> mRecentByRoute = new BoundedMap<>(MAX_ROUTES);
    private final Map<RequestFingerprint, Long> mProvenNanos = new BoundedMap<>(MAX_PARTS);

    /** A map that forgets what was used the longest ago. */
    private static final class BoundedMap<K, V> extends LinkedHashMap<K, V> {
        private static final long serialVersionUID = 1;
        private static final float LOAD_FACTOR = 0.75f;
        private final int mCapacity;

        BoundedMap(int capacity) {
            super(16, LOAD_FACTOR, true);
            mCapacity = capacity;
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
            return size() > mCapacity;
        }
    }

    /** The recent prompts of one route. */
    private static final class Recent {
        private final Deque<List<RequestFingerprint>> mPrompts = new ArrayDeque<>();
        private final Map<RequestFingerprint, Integer> mCounts = new HashMap<>();

        void add(List<RequestFingerprint> parts) {
            mPrompts.addLast(parts);
            parts.forEach(part -> mCounts.merge(part, 1, Integer::sum));
            if (mPrompts.size() > RECENT_PROMPTS) {
                mPrompts.removeFirst()
                        .forEach(
                                part ->
                                        mCounts.computeIfPresent(
                                                part, (_, count) -> count > 1 ? count - 1 : null));
            }
        }

        boolean isCommon(RequestFingerprint part) {
            return mPrompts.size() >= MIN_PROMPTS
                    && mCounts.getOrDefault(part, 0) >= COMMON_SHARE * mPrompts.size();
        }
    }

    PartHistory(MonotonicClock clock) {
        mClock = clock;
    }

    /** Records a prompt that a caller has sent. */
    void received(String route, List<RequestFingerprint> parts) {
        try (OrderedLock.Held _ = mLock.hold()) {
            mRecentByRoute.computeIfAbsent(route, _ -> new Recent()).add(parts);
        }
    }

    /** Records that an engine has written an answer to a prompt with these parts. */
    void proven(List<RequestFingerprint> parts) {
        long nowNanos = mClock.nanoTime();
        try (OrderedLock.Held _ = mLock.hold()) {
            parts.forEach(part -> mProvenNanos.put(part, nowNanos));
        }
    }

    /** Returns whether a part may be what crashes engines. */
    boolean maySuspect(String route, RequestFingerprint part) {
        try (OrderedLock.Held _ = mLock.hold()) {
            Long provenNanos = mProvenNanos.get(part);
            boolean isProven =
                    provenNanos != null && mClock.nanoTime() - provenNanos < RETENTION.toNanos();
            Recent recent = mRecentByRoute.get(route);
            return !isProven && (recent == null || !recent.isCommon(part));
        }
    }
}
