/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.quota;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * What a voter that does not hold the lease may grant while the one that does is silent: its part
 * of {@link QuotaTolerance#RESERVE_SHARE} of the tolerance. Until another holds the lease, up to
 * 1.4 s, callers within their limits are served by it.
 *
 * <p>Invariant: in any window all voters together grant no more than that share, whichever of them
 * are cut off, or restart: one that has just started grants nothing for a window, since nothing is
 * known of what it granted before. Not thread-safe; time is passed in.
 */
public final class QuotaReserve {
    private final Map<String, Grants> mGrants = new HashMap<>();
    private final long mStartNanos;
    private final boolean mIsFirstStart;

    /** What was granted of one key within a window. */
    private static final class Grants {
        private final Deque<Grant> mNewestLast = new ArrayDeque<>();
        private long mSum;

        private void forgetBefore(long nanos) {
            while (!mNewestLast.isEmpty() && mNewestLast.getFirst().atNanos() - nanos < 0) {
                mSum -= mNewestLast.removeFirst().units();
            }
        }

        private void add(Grant grant) {
            mNewestLast.addLast(grant);
            mSum += grant.units();
        }
    }

    private record Grant(long units, long atNanos) {}

    /**
     * Creates a reserve of which nothing was granted.
     *
     * @param isFirstStart whether the whole site starts for the first time, so that nothing was
     *     granted before
     * @param nowNanos the monotonic time
     */
    public QuotaReserve(boolean isFirstStart, long nowNanos) {
        mIsFirstStart = isFirstStart;
        mStartNanos = nowNanos;
    }

    /**
     * Answers a question without the lease.
     *
     * @param ask the question
     * @param voters how many voters there are, at least 1
     * @param nowNanos the monotonic time, not before that of the call before
     * @return granted, or that an owner is needed
     */
    public QuotaAnswer ask(QuotaAsk ask, int voters, long nowNanos) {
        long windowNanos = ask.limit().window().toNanos();
        if (!mIsFirstStart && nowNanos - mStartNanos < windowNanos) {
            return QuotaAnswer.NO_OWNER;
        }
        Grants grants = grants(ask, nowNanos);
        grants.forgetBefore(nowNanos - windowNanos);
        double most = QuotaTolerance.RESERVE_SHARE * ask.limit().tolerance() / voters;
        if (grants.mSum + ask.units() > most) {
            return QuotaAnswer.NO_OWNER;
        }
        grants.add(new Grant(ask.units(), nowNanos));
        return QuotaAnswer.GRANTED_OFFLINE;
    }

    /** Keys come and go with tables; those of which nothing was granted lately are not kept. */
    private Grants grants(QuotaAsk ask, long nowNanos) {
        Grants grants = mGrants.get(ask.key());
        if (grants == null) {
            long oldestNanos = nowNanos - ask.limit().window().toNanos();
            mGrants.values().forEach(other -> other.forgetBefore(oldestNanos));
            mGrants.values().removeIf(other -> other.mNewestLast.isEmpty());
            grants = new Grants();
            mGrants.put(ask.key(), grants);
        }
        return grants;
    }
}
