/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.pacing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.Predicate;
import org.orchidmount.clock.Millis;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.internal.lock.LockRank;
import org.orchidmount.internal.lock.OrderedLock;
import org.orchidmount.internal.log.PartLog;
import org.orchidmount.membership.Incarnation;
import org.orchidmount.membership.Registration;

/**
 * Rate limits of upstreams that one instance knows.
 *
 * <p>Invariants: a response changes a limit only if its request was sent after that limit was
 * learned, so that a late response changes nothing after a newer one; records from other instances
 * merge to the same result in any order; a limit in force is removed only with its upstream, or
 * when there are more than {@link #CAPACITY} records and none of a revoked limit is left.
 * Thread-safe.
 */
public final class UpstreamLimits {
    /** Maximum number of records: twice the target number of upstreams, about 100 bytes each. */
    public static final int CAPACITY = 16_384;

    /** Retention of revoked limits, while older records may still be in transit. */
    private static final Duration REVOKED_RETENTION = Duration.ofMinutes(10);

    /**
     * Relative change below which a limit is not announced to all instances; the tolerance of
     * upstreams is wider.
     */
    private static final double MIN_CHANGE_SHARE = 0.1;

    private static final PartLog LOG = PartLog.of("pacing");

    private final OrderedLock mLock = new OrderedLock(LockRank.UPSTREAM_LIMITS);
    private final Map<Incarnation, Entry> mEntries = new HashMap<>();
    private final String mInstance;
    private final MonotonicClock mClock;

    /** Read without the lock, so that responses incur no cost while no limit is known. */
    private volatile boolean mIsEmpty = true;

    private record Entry(UpstreamLimit limit, long learnedNanos) {
        /** Eviction order: revoked limits first, then the oldest. */
        static final Comparator<Entry> EVICTION_ORDER =
                Comparator.comparing((Entry held) -> held.limit.isInForce())
                        .thenComparingLong(Entry::learnedNanos);

        boolean isExpired(long nowNanos) {
            boolean isLongAgo = nowNanos - learnedNanos > REVOKED_RETENTION.toNanos();
            return isLongAgo && !limit.isInForce();
        }
    }

    /**
     * Creates an empty set of limits.
     *
     * @param instance name of this instance
     * @param clock orders the receipt of limits and the sending of requests
     */
    public UpstreamLimits(String instance, MonotonicClock clock) {
        mInstance = instance;
        mClock = clock;
    }

    /**
     * Updates the limit from a response of an upstream.
     *
     * @param upstream incarnation that responded
     * @param stated limit in requests per second that the response states; empty if it states none
     * @param sentNanos monotonic time at which the request was sent
     * @return the new record if it changes the limit, else empty
     */
    public Optional<UpstreamLimit> observe(
            Incarnation upstream, OptionalDouble stated, long sentNanos) {
        if (mIsEmpty && stated.isEmpty()) {
            return Optional.empty();
        }
        try (OrderedLock.Held _ = mLock.hold()) {
            Entry held = mEntries.get(upstream);
            boolean isChange =
                    held == null
                            ? stated.isPresent()
                            : sentNanos - held.learnedNanos() >= 0 && differs(held.limit(), stated);
            if (!isChange) {
                return Optional.empty();
            }
            long version = held == null ? 1 : held.limit().version() + 1;
            UpstreamLimit limit = new UpstreamLimit(upstream, stated, version, mInstance);
            hold(limit);
            LOG.info(
                    "upstream %s, according to the response to a request sent %.0f ms ago",
                    limit, Millis.ofNanos(mClock.nanoTime() - sentNanos));
            return Optional.of(limit);
        }
    }

    private static boolean differs(UpstreamLimit known, OptionalDouble stated) {
        if (!known.isInForce() || stated.isEmpty()) {
            return known.isInForce() != stated.isPresent();
        }
        double before = known.perSecond().getAsDouble();
        double change = Math.abs(stated.getAsDouble() - before);
        return change > MIN_CHANGE_SHARE * before;
    }

    /**
     * Merges records that were received.
     *
     * @param records the records
     * @return the records that replaced older ones
     */
    public List<UpstreamLimit> merge(Collection<UpstreamLimit> records) {
        try (OrderedLock.Held _ = mLock.hold()) {
            List<UpstreamLimit> changed = new ArrayList<>();
            for (UpstreamLimit record : records) {
                Entry held = mEntries.get(record.upstream());
                if (held == null || record.isNewerThan(held.limit())) {
                    hold(record);
                    LOG.info("upstream %s, according to another instance", record);
                    changed.add(record);
                }
            }
            return changed;
        }
    }

    private void hold(UpstreamLimit limit) {
        long nowNanos = mClock.nanoTime();
        mEntries.put(limit.upstream(), new Entry(limit, nowNanos));
        mEntries.values().removeIf(held -> held.isExpired(nowNanos));
        while (mEntries.size() > CAPACITY) {
            Entry first = mEntries.values().stream().min(Entry.EVICTION_ORDER).orElseThrow();
            mEntries.remove(first.limit().upstream());
        }
        mIsEmpty = mEntries.isEmpty();
    }

    /**
     * Returns whether no limit is known, either because none was received or all were removed.
     *
     * @return true if no records are held
     */
    public boolean isEmpty() {
        return mIsEmpty;
    }

    /**
     * Returns the limit of an upstream.
     *
     * @param upstream incarnation of the upstream
     * @return its limit, or empty if it states none
     */
    public Optional<UpstreamLimit> find(Incarnation upstream) {
        if (mIsEmpty) {
            return Optional.empty();
        }
        try (OrderedLock.Held _ = mLock.hold()) {
            return Optional.ofNullable(mEntries.get(upstream))
                    .map(Entry::limit)
                    .filter(UpstreamLimit::isInForce);
        }
    }

    /**
     * Returns all records, including those of revoked limits.
     *
     * @return a copy
     */
    public List<UpstreamLimit> all() {
        try (OrderedLock.Held _ = mLock.hold()) {
            return mEntries.values().stream().map(Entry::limit).toList();
        }
    }

    /**
     * Returns whether a registration shows that an incarnation of an upstream has ended.
     *
     * @param upstream incarnation of the upstream
     * @param registration the registration
     * @return true if the upstream has left, or a newer incarnation has replaced this one
     */
    public static boolean isEnded(Incarnation upstream, Registration registration) {
        if (!upstream.id().equals(registration.id())) {
            return false;
        }
        return registration.state() == Registration.State.GONE
                || registration.incarnation().isNewerThan(upstream);
    }

    /**
     * Removes the limits of upstreams that have ended.
     *
     * @param hasEnded selects the incarnations to remove
     */
    public void forget(Predicate<Incarnation> hasEnded) {
        if (mIsEmpty) {
            return;
        }
        try (OrderedLock.Held _ = mLock.hold()) {
            mEntries.keySet().removeIf(hasEnded);
            mIsEmpty = mEntries.isEmpty();
        }
    }
}
