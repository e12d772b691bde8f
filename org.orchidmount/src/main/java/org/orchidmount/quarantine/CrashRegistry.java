/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.internal.lock.LockRank;
import org.orchidmount.internal.lock.OrderedLock;

/**
 * The crash records that one instance holds.
 *
 * <p>Invariants: for each request the newest record is held; a quarantined request is evicted only
 * when there are more than {@link #CAPACITY} records and no record of another kind is left to
 * evict. Thread-safe.
 */
public final class CrashRegistry {
    /** Maximum number of records, about 64 bytes each. */
    public static final int CAPACITY = 4_096;

    /** Retention of cleared requests, while older records of them may still be in transit. */
    private static final Duration CLEARED_RETENTION = Duration.ofMinutes(10);

    /** Retention of suspected requests since their last crash. */
    private static final Duration SUSPECT_RETENTION = Duration.ofHours(1);

    private final OrderedLock mLock = new OrderedLock(LockRank.QUARANTINE);
    private final Map<RequestFingerprint, Entry> mRecords = new HashMap<>();
    private final MonotonicClock mClock;

    private long mExpiryCheckNanos;

    /** Read without the lock, so that requests incur no cost while no crash is known. */
    private volatile boolean mIsEmpty = true;

    private record Entry(CrashRecord record, long changedNanos) {
        /** Eviction order: cleared, then suspected, then quarantined; the oldest first. */
        static final Comparator<Entry> EVICTION_ORDER =
                Comparator.comparing((Entry held) -> held.record.isQuarantined())
                        .thenComparing(held -> held.record.isSuspect())
                        .thenComparingLong(Entry::changedNanos);

        boolean isExpired(long nowNanos) {
            Duration retention = record.isSuspect() ? SUSPECT_RETENTION : CLEARED_RETENTION;
            return !record.isQuarantined() && nowNanos - changedNanos > retention.toNanos();
        }
    }

    /**
     * Creates an empty registry.
     *
     * @param clock clock for the age of records
     */
    public CrashRegistry(MonotonicClock clock) {
        mClock = clock;
        mExpiryCheckNanos = clock.nanoTime();
    }

    /**
     * Returns whether no crash is known.
     *
     * @return true if the registry holds no records
     */
    public boolean isEmpty() {
        return mIsEmpty;
    }

    /**
     * Returns the record of a request.
     *
     * @param fingerprint fingerprint of the request
     * @return its record; one without crashes if none is held
     */
    public CrashRecord find(RequestFingerprint fingerprint) {
        try (OrderedLock.Held _ = mLock.hold()) {
            expirePeriodically();
            return held(fingerprint);
        }
    }

    /** Requests need no fingerprints once all records have expired. */
    private void expirePeriodically() {
        long nowNanos = mClock.nanoTime();
        if (nowNanos - mExpiryCheckNanos > CLEARED_RETENTION.toNanos()) {
            removeExpired(nowNanos);
        }
    }

    private void removeExpired(long nowNanos) {
        mExpiryCheckNanos = nowNanos;
        mRecords.values().removeIf(held -> held.isExpired(nowNanos));
        mIsEmpty = mRecords.isEmpty();
    }

    private CrashRecord held(RequestFingerprint fingerprint) {
        Entry held = mRecords.get(fingerprint);
        return held == null ? CrashRecord.none(fingerprint) : held.record();
    }

    /**
     * Merges records that were received or created locally.
     *
     * @param records the records
     * @return the records that replaced older ones
     */
    public List<CrashRecord> merge(Collection<CrashRecord> records) {
        try (OrderedLock.Held _ = mLock.hold()) {
            List<CrashRecord> changed = new ArrayList<>();
            for (CrashRecord record : records) {
                if (record.isNewerThan(held(record.fingerprint()))) {
                    mRecords.put(record.fingerprint(), new Entry(record, mClock.nanoTime()));
                    changed.add(record);
                }
            }
            if (!changed.isEmpty()) {
                evict();
            }
            return changed;
        }
    }

    /**
     * Clears a request with known crashes.
     *
     * @param fingerprint fingerprint of the request
     * @return the new record; empty if the request was not suspected
     */
    public Optional<CrashRecord> clear(RequestFingerprint fingerprint) {
        CrashRecord before = find(fingerprint);
        if (!before.isSuspect()) {
            return Optional.empty();
        }
        return merge(List.of(before.cleared())).stream().findFirst();
    }

    private void evict() {
        removeExpired(mClock.nanoTime());
        while (mRecords.size() > CAPACITY) {
            Entry first = mRecords.values().stream().min(Entry.EVICTION_ORDER).orElseThrow();
            mRecords.remove(first.record().fingerprint());
        }
    }

    /**
     * Returns all records.
     *
     * @return a copy
     */
    public List<CrashRecord> all() {
        try (OrderedLock.Held _ = mLock.hold()) {
            return mRecords.values().stream().map(Entry::record).toList();
        }
    }

    /**
     * Returns the records of the quarantined requests.
     *
     * @return a copy
     */
    public List<CrashRecord> quarantined() {
        return all().stream().filter(CrashRecord::isQuarantined).toList();
    }
}
