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
 * The buckets of all keys, at the one instance that holds the lease for them.
 *
 * <p>A bucket is filled at the rate of its key up to the burst. A request is granted while the
 * bucket is above zero, and may take it below: so a large request is granted as often as a small
 * one, which it would not be if the bucket had to hold it whole, and a window exceeds the limit by
 * one request at most.
 *
 * <p>Invariants: what is granted in any window stays below rate, burst and one request, for as long
 * as one lease lasts. A new lease begins with a part of the tolerance and not with the burst, since
 * nothing is known of what was granted under the one before. Not thread-safe; time is passed in.
 */
public final class QuotaOwner {
    /** The longest time to come back; callers rarely wait for more. */
    private static final double MOST_WAIT_SECONDS = 8;

    /** Looks at the buckets between two searches for those that are of no use. */
    private static final int SWEEP_ASKS = 4_096;

    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final Map<String, Bucket> mBuckets = new HashMap<>();
    private long mLease;
    private long mLeaseNanos;
    private long mFormerNanos;
    private int mAsks;

    /** The state of one key. */
    private static final class Bucket {
        private QuotaLimit mLimit;
        private long mVersion;

        /** Units that may be used now; below zero after a large request. */
        private double mUnits;

        /** Units refused lately, less what the rate has let come back since. */
        private double mRefusedUnits;

        private long mAtNanos;

        /** What was granted and refused since {@link #takeUses} last told so. */
        private long mGrantedUnits;

        private int mGranted;

        /** Questions granted since the bucket was made. */
        private long mGrantedInAll;

        private int mRefused;

        private void advance(long nowNanos) {
            double filled = mLimit.ratePerSecond() * (nowNanos - mAtNanos) / NANOS_PER_SECOND;
            mUnits = Math.min(mLimit.burst(), mUnits + filled);
            mRefusedUnits = Math.max(0, mRefusedUnits - filled);
            mAtNanos = nowNanos;
        }

        private void grant(long units) {
            mUnits -= units;
            mGrantedUnits += units;
            mGranted++;
            mGrantedInAll++;
        }

        private QuotaUse takeUse(String key) {
            QuotaUse use = new QuotaUse(key, mLimit, mVersion, mGrantedUnits, mGranted, mRefused);
            mGrantedUnits = 0;
            mGranted = 0;
            mRefused = 0;
            return use;
        }

        /** Refused requests are told to come back one after the other, as the rate has room. */
        private Duration refuse(long units) {
            mRefused++;
            mRefusedUnits += units;
            double seconds = (mRefusedUnits - mUnits) / mLimit.ratePerSecond();
            return Duration.ofNanos(
                    (long) (Math.min(MOST_WAIT_SECONDS, seconds) * NANOS_PER_SECOND));
        }
    }

    /**
     * Notes under which lease the next questions are answered. A new one forgets all buckets.
     *
     * @param lease the number of the lease; it rises with each holder
     * @param formerNanos since when there was no more than one other lease, as far as is known here
     * @param nowNanos the monotonic time
     */
    public void hold(long lease, long formerNanos, long nowNanos) {
        if (lease != mLease) {
            mBuckets.clear();
            mLease = lease;
            mLeaseNanos = nowNanos;
            mFormerNanos = formerNanos;
        }
    }

    /**
     * Answers a question under the lease.
     *
     * @param ask the question
     * @param nowNanos the monotonic time, not before that of the call before
     * @return granted, or when to come back
     */
    public QuotaAnswer ask(QuotaAsk ask, long nowNanos) {
        sweep(nowNanos);
        Bucket bucket = mBuckets.computeIfAbsent(ask.key(), key -> newBucket(ask));
        adopt(bucket, ask);
        bucket.advance(nowNanos);
        QuotaLimit limit = bucket.mLimit;
        if (ask.units() > limit.burst() + limit.tolerance()) {
            return QuotaAnswer.TOO_LARGE;
        }
        if (bucket.mUnits <= 0) {
            return QuotaAnswer.exceeded(bucket.refuse(ask.units()));
        }
        bucket.grant(ask.units());
        return QuotaAnswer.GRANTED;
    }

    /**
     * Takes back units that were granted and not used.
     *
     * @param key what is limited
     * @param units how many
     * @param nowNanos the monotonic time
     */
    public void giveBack(String key, long units, long nowNanos) {
        Bucket bucket = mBuckets.get(key);
        if (bucket != null) {
            bucket.advance(nowNanos);
            bucket.mUnits = Math.min(bucket.mLimit.burst(), bucket.mUnits + units);
        }
    }

    /**
     * Tells how many questions were granted under this lease.
     *
     * @param key what is limited
     * @return a count; 0 for a key that nobody has asked for lately
     */
    public long granted(String key) {
        Bucket bucket = mBuckets.get(key);
        return bucket == null ? 0 : bucket.mGrantedInAll;
    }

    /**
     * Tells what was granted and refused since the last call, of keys that were refused anything.
     *
     * @return their use
     */
    public List<QuotaUse> takeUses() {
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

    /** A key that was not asked for yet has been filled since the lease began. */
    private Bucket newBucket(QuotaAsk ask) {
        Bucket bucket = new Bucket();
        bucket.mLimit = ask.limit();
        bucket.mVersion = ask.version();
        bucket.mUnits = Math.min(ask.limit().burst(), startShare(ask) * ask.limit().tolerance());
        bucket.mAtNanos = mLeaseNanos;
        return bucket;
    }

    /** Only what no window holds twice may be large. */
    private double startShare(QuotaAsk ask) {
        boolean isFirst = mLeaseNanos - mFormerNanos >= ask.limit().window().toNanos();
        return isFirst ? QuotaTolerance.FIRST_START_SHARE : QuotaTolerance.NEXT_START_SHARE;
    }

    /** The newest table counts, also for instances that do not have it yet. */
    private static void adopt(Bucket bucket, QuotaAsk ask) {
        if (ask.version() > bucket.mVersion) {
            bucket.mVersion = ask.version();
            bucket.mLimit = ask.limit();
        }
    }

    /** Forgets buckets that a new one would equal. */
    private void sweep(long nowNanos) {
        if (++mAsks % SWEEP_ASKS != 0) {
            return;
        }
        Iterator<Bucket> buckets = mBuckets.values().iterator();
        while (buckets.hasNext()) {
            Bucket bucket = buckets.next();
            bucket.advance(nowNanos);
            boolean isFull = bucket.mUnits >= bucket.mLimit.burst();
            if (isFull && bucket.mRefusedUnits == 0 && isOld(bucket, nowNanos)) {
                buckets.remove();
            }
        }
    }

    private boolean isOld(Bucket bucket, long nowNanos) {
        double leaseSeconds = (nowNanos - mLeaseNanos) / NANOS_PER_SECOND;
        return leaseSeconds * bucket.mLimit.ratePerSecond() > bucket.mLimit.burst();
    }
}
