/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.quota;

import java.util.Arrays;
import java.util.concurrent.TimeUnit;

/** A way to hold a key to its limit over many instances, without faults. Not thread-safe. */
public interface QuotaWay {
    double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    /** Tells whether a request at an instance may use units. */
    boolean take(int instance, long units, long nowNanos);

    /** Returns the messages that were sent so far. */
    long messages();

    /** One owner that is asked for each request: what the product does. */
    final class Owner implements QuotaWay {
        private final QuotaOwner mOwner = new QuotaOwner();
        private final QuotaLimit mLimit;
        private long mMessages;

        Owner(QuotaLimit limit) {
            mLimit = limit;
            mOwner.hold(1, 0, 0);
        }

        @Override
        public boolean take(int instance, long units, long nowNanos) {
            mMessages += 2;
            return mOwner.ask(new QuotaRequest("a", mLimit, 1, units), nowNanos).isGranted();
        }

        @Override
        public long messages() {
            return mMessages;
        }
    }

    /**
     * A bucket at each instance, of a part of the limit: an equal part, or the part that its demand
     * had in what all announced last. A tenth is always shared equally, so that an instance without
     * demand so far has something.
     */
    final class Shares implements QuotaWay {
        private static final double EQUAL_PART = 0.1;
        private static final long ANNOUNCE_NANOS = TimeUnit.SECONDS.toNanos(1);

        private final QuotaLimit mLimit;
        private final boolean mByDemand;
        private final double[] mUnits;
        private final double[] mParts;
        private final double[] mAsked;
        private long mFilledNanos;
        private long mAnnouncedNanos;
        private long mMessages;

        /**
         * Creates full buckets.
         *
         * @param limit the limit of all
         * @param instances how many share it
         * @param byDemand whether parts follow demand
         */
        public Shares(QuotaLimit limit, int instances, boolean byDemand) {
            mLimit = limit;
            mByDemand = byDemand;
            mUnits = new double[instances];
            mParts = new double[instances];
            mAsked = new double[instances];
            Arrays.fill(mParts, 1.0 / instances);
            Arrays.setAll(mUnits, i -> limit.burst() * mParts[i]);
        }

        @Override
        public boolean take(int instance, long units, long nowNanos) {
            fill(nowNanos);
            if (mByDemand && nowNanos - mAnnouncedNanos >= ANNOUNCE_NANOS) {
                mAnnouncedNanos = nowNanos;
                announce();
            }
            mAsked[instance] += units;
            if (mUnits[instance] <= 0) {
                return false;
            }
            mUnits[instance] -= units;
            return true;
        }

        private void fill(long nowNanos) {
            double units = mLimit.ratePerSecond() * (nowNanos - mFilledNanos) / NANOS_PER_SECOND;
            mFilledNanos = nowNanos;
            for (int i = 0; i < mUnits.length; i++) {
                double most = mLimit.burst() * mParts[i];
                mUnits[i] = Math.min(most, mUnits[i] + units * mParts[i]);
            }
        }

        private void announce() {
            mMessages += (long) mUnits.length * mUnits.length;
            double sum = Arrays.stream(mAsked).sum();
            double equal = EQUAL_PART / mParts.length;
            for (int i = 0; i < mParts.length && sum > 0; i++) {
                mParts[i] = equal + (1 - EQUAL_PART) * mAsked[i] / sum;
                mAsked[i] = 0;
            }
        }

        @Override
        public long messages() {
            return mMessages;
        }
    }
}
