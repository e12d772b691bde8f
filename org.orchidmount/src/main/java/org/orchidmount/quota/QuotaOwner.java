/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.quota;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The buckets of all keys, held by the one instance that has the lease.
 *
 * <p>A bucket is refilled at the rate of its key up to the burst. A request is granted while the
 * bucket is above zero, and may take it below zero. Large requests are thus granted as often as
 * small ones, which would not be so if the bucket had to hold the whole request, and the use in a
 * window exceeds the limit by at most one request.
 *
 * <p>Invariants: the units granted in any window stay below rate, burst and one request for as long
 * as one lease lasts. Under a new lease a bucket begins with a share of the tolerance instead of
 * the burst, since the grants under the previous lease are not known. Not thread-safe; callers pass
 * the time in.
 */
public final class QuotaOwner {
    /** Upper bound of the retry time; callers rarely wait longer. */
    private static final double MAX_RETRY_SECONDS = 8;

    /** Number of requests between two removals of buckets that are equal to new ones. */
    private static final int SWEEP_INTERVAL_REQUESTS = 4_096;

    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final Map<String, Bucket> mBuckets = new HashMap<>();
    private long mLease;
    private long mLeaseNanos;
    private long mPreviousLeaseNanos;
    private int mRequests;

    /** Token bucket of one key. */
    private static final class Bucket {
        private QuotaLimit mLimit;
        private long mVersion;

        /** Units available now; below zero after a large request. */
        private double mUnits;

        /** Recently refused units, less those that the rate has refilled since. */
        private double mRefusedUnits;

        private long mUpdatedNanos;

        /** Units granted since the last call of {@link #drainUses}. */
        private long mGrantedUnits;

        private int mGranted;

        /** Requests granted since the bucket was created. */
        private long mTotalGranted;

        private int mRefused;

        private void advance(long nowNanos) {
            double filled = mLimit.ratePerSecond() * (nowNanos - mUpdatedNanos) / NANOS_PER_SECOND;
            mUnits = Math.min(mLimit.burst(), mUnits + filled);
            mRefusedUnits = Math.max(0, mRefusedUnits - filled);
            mUpdatedNanos = nowNanos;
        }

        private void grant(long units) {
            mUnits -= units;
            mGrantedUnits += units;
            mGranted++;
            mTotalGranted++;
        }

        private QuotaUse takeUse(String key) {
            QuotaUse use = new QuotaUse(key, mLimit, mVersion, mGrantedUnits, mGranted, mRefused);
            mGrantedUnits = 0;
            mGranted = 0;
            mRefused = 0;
            return use;
        }

        /** Staggers the retry times of refused requests at the rate of the key. */
        private Duration refuse(long units) {
            mRefused++;
            mRefusedUnits += units;
            double seconds = (mRefusedUnits - mUnits) / mLimit.ratePerSecond();
            return Duration.ofNanos(
                    (long) (Math.min(MAX_RETRY_SECONDS, seconds) * NANOS_PER_SECOND));
        }
    }

    /**
     * Sets the lease under which the following requests are answered. A new lease discards all
     * buckets.
     *
     * @param lease number of the lease, which increases with each holder
     * @param previousLeaseNanos monotonic time since when at most one other lease has existed, as
     *     far as this instance knows
     * @param nowNanos monotonic time
     */
    public void hold(long lease, long previousLeaseNanos, long nowNanos) {
        if (lease != mLease) {
            mBuckets.clear();
            mLease = lease;
            mLeaseNanos = nowNanos;
            mPreviousLeaseNanos = previousLeaseNanos;
        }
    }

    /**
     * Answers a request under the lease.
     *
     * @param request the request
     * @param nowNanos monotonic time, not before that of the previous call
     * @return granted, too large, or exceeded with the time to retry after
     */
    public QuotaAnswer ask(QuotaRequest request, long nowNanos) {
        sweep(nowNanos);
        Bucket bucket = mBuckets.computeIfAbsent(request.key(), key -> newBucket(request));
        applyNewerLimit(bucket, request);
        bucket.advance(nowNanos);
        QuotaLimit limit = bucket.mLimit;
        if (request.units() > limit.burst() + limit.tolerance()) {
            return QuotaAnswer.TOO_LARGE;
        }
        if (bucket.mUnits <= 0) {
            return QuotaAnswer.exceeded(bucket.refuse(request.units()));
        }
        bucket.grant(request.units());
        return QuotaAnswer.GRANTED;
    }

    /**
     * Returns units to the bucket that were granted and not used.
     *
     * @param key key of the bucket; ignored if it has none
     * @param units number of units
     * @param nowNanos monotonic time
     */
    public void refund(String key, long units, long nowNanos) {
        Bucket bucket = mBuckets.get(key);
        if (bucket != null) {
            bucket.advance(nowNanos);
            bucket.mUnits = Math.min(bucket.mLimit.burst(), bucket.mUnits + units);
        }
    }

    /**
     * Returns the number of requests granted under this lease.
     *
     * @param key key of the bucket
     * @return number of requests; 0 for a key that was not requested recently
     */
    public long granted(String key) {
        Bucket bucket = mBuckets.get(key);
        return bucket == null ? 0 : bucket.mTotalGranted;
    }

    /**
     * Returns and resets what was granted and refused since the last call, for keys with at least
     * one refusal.
     *
     * @return use per key
     */
    public List<QuotaUse> drainUses() {
        List<QuotaUse> uses = new ArrayList<>();
        mBuckets.forEach(
                (key, bucket) -> {
                    QuotaUse use = bucket.takeUse(key);
                    if (use.refused() > 0) {
                        uses.add(use);
                    }
                });
        return uses;
    }

    /** Creates a bucket that counts as refilled since the lease began. */
    private Bucket newBucket(QuotaRequest request) {
        Bucket bucket = new Bucket();
        bucket.mLimit = request.limit();
        bucket.mVersion = request.version();
        bucket.mUnits =
                Math.min(
                        request.limit().burst(),
                        initialShare(request) * request.limit().tolerance());
        bucket.mUpdatedNanos = mLeaseNanos;
        return bucket;
    }

    /** Returns the larger share only for the first change of the lease within a window. */
    private double initialShare(QuotaRequest request) {
        boolean isFirst = mLeaseNanos - mPreviousLeaseNanos >= request.limit().window().toNanos();
        return isFirst ? QuotaTolerance.FIRST_LEASE_SHARE : QuotaTolerance.LATER_LEASE_SHARE;
    }

    /**
     * Gives the bucket the limit that the request states, if that limit is from a newer table than
     * the limit of the bucket. Requests of instances that do not have that table yet then count
     * against the newer limit too.
     */
    private static void applyNewerLimit(Bucket bucket, QuotaRequest request) {
        if (request.version() > bucket.mVersion) {
            bucket.mVersion = request.version();
            bucket.mLimit = request.limit();
        }
    }

    /** Removes the buckets that are equal to newly created ones. */
    private void sweep(long nowNanos) {
        if (++mRequests % SWEEP_INTERVAL_REQUESTS != 0) {
            return;
        }
        Iterator<Bucket> buckets = mBuckets.values().iterator();
        while (buckets.hasNext()) {
            Bucket bucket = buckets.next();
            bucket.advance(nowNanos);
            boolean isFull = bucket.mUnits >= bucket.mLimit.burst();
            if (isFull && bucket.mRefusedUnits == 0 && wouldNewBucketBeFull(bucket, nowNanos)) {
                buckets.remove();
            }
        }
    }

    private boolean wouldNewBucketBeFull(Bucket bucket, long nowNanos) {
        double leaseSeconds = (nowNanos - mLeaseNanos) / NANOS_PER_SECOND;
        return leaseSeconds * bucket.mLimit.ratePerSecond() > bucket.mLimit.burst();
    }
}
