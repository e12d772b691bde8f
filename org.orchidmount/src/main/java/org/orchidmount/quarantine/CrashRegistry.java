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
    private static final Duration REMEMBER_CLEARED = Duration.ofMinutes(10);

    /** Retention of suspected requests since their last crash. */
    private static final Duration REMEMBER_SUSPECT = Duration.ofHours(1);

    private final OrderedLock mLock = new OrderedLock(LockRank.QUARANTINE);
    private final Map<RequestFingerprint, Held> mRecords = new HashMap<>();
    private final MonotonicClock mClock;

    private long mForgotNanos;

    /** Read without the lock, so that requests incur no cost while no crash is known. */
    private volatile boolean mIsEmpty = true;

    private record Held(CrashRecord record, long changedNanos) {
        /** Eviction order: cleared, then suspected, then quarantined; the oldest first. */
        static final Comparator<Held> GIVES_WAY =
                Comparator.comparing((Held held) -> held.record.isQuarantined())
                        .thenComparing(held -> held.record.isSuspect())
                        .thenComparingLong(Held::changedNanos);

        boolean isOld(long nowNanos) {
            Duration remember = record.isSuspect() ? REMEMBER_SUSPECT : REMEMBER_CLEARED;
            return !record.isQuarantined() && nowNanos - changedNanos > remember.toNanos();
        }
    }

    /**
     * Creates an empty registry.
     *
     * @param clock clock for the age of records
     */
    public CrashRegistry(MonotonicClock clock) {
        mClock = clock;
        mForgotNanos = clock.nanoTime();
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
            forgetOldNowAndThen();
            return held(fingerprint);
        }
    }

    /** Requests need no fingerprints once all records have expired. */
    private void forgetOldNowAndThen() {
        long nowNanos = mClock.nanoTime();
        if (nowNanos - mForgotNanos > REMEMBER_CLEARED.toNanos()) {
            forgetOld(nowNanos);
        }
    }

    private void forgetOld(long nowNanos) {
        mForgotNanos = nowNanos;
        mRecords.values().removeIf(held -> held.isOld(nowNanos));
        mIsEmpty = mRecords.isEmpty();
    }

    private CrashRecord held(RequestFingerprint fingerprint) {
        Held held = mRecords.get(fingerprint);
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
                    mRecords.put(record.fingerprint(), new Held(record, mClock.nanoTime()));
                    changed.add(record);
                }
            }
            if (!changed.isEmpty()) {
                makeRoom();
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

    private void makeRoom() {
        forgetOld(mClock.nanoTime());
        while (mRecords.size() > CAPACITY) {
            Held first = mRecords.values().stream().min(Held.GIVES_WAY).orElseThrow();
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
            return mRecords.values().stream().map(Held::record).toList();
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
