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
 * Units that a voter without the lease may grant while the lease holder does not answer: its share
 * of {@link QuotaTolerance#RESERVE_SHARE} of the tolerance. It serves callers within their limits
 * until another voter holds the lease, which takes up to 1.4 s.
 *
 * <p>Invariant: in any window all voters together grant no more than that share, whichever of them
 * are partitioned or restart. A voter that has just started grants nothing for one window, since
 * its earlier grants are not known. Not thread-safe; callers pass the time in.
 */
public final class QuotaReserve {
    private final Map<String, Grants> mGrants = new HashMap<>();
    private final long mStartNanos;
    private final boolean mIsFirstStart;

    /** Units granted for one key within a window. */
    private static final class Grants {
        private final Deque<Grant> mOldestFirst = new ArrayDeque<>();
        private long mSum;

        private void removeBefore(long nanos) {
            while (!mOldestFirst.isEmpty() && mOldestFirst.getFirst().atNanos() - nanos < 0) {
                mSum -= mOldestFirst.removeFirst().units();
            }
        }

        private void add(Grant grant) {
            mOldestFirst.addLast(grant);
            mSum += grant.units();
        }
    }

    private record Grant(long units, long atNanos) {}

    /**
     * Creates a reserve from which nothing has been granted.
     *
     * @param isFirstStart whether the whole site starts for the first time, so that there are no
     *     earlier grants
     * @param nowNanos monotonic time
     */
    public QuotaReserve(boolean isFirstStart, long nowNanos) {
        mIsFirstStart = isFirstStart;
        mStartNanos = nowNanos;
    }

    /**
     * Answers a request without the lease.
     *
     * @param request the request
     * @param voters number of voters, at least 1
     * @param nowNanos monotonic time, not before that of the previous call
     * @return granted offline, or that an owner is needed
     */
    public QuotaAnswer ask(QuotaRequest request, int voters, long nowNanos) {
        long windowNanos = request.limit().window().toNanos();
        if (!mIsFirstStart && nowNanos - mStartNanos < windowNanos) {
            return QuotaAnswer.NO_OWNER;
        }
        Grants grants = grants(request, nowNanos);
        grants.removeBefore(nowNanos - windowNanos);
        double maxUnits = QuotaTolerance.RESERVE_SHARE * request.limit().tolerance() / voters;
        if (grants.mSum + request.units() > maxUnits) {
            return QuotaAnswer.NO_OWNER;
        }
        grants.add(new Grant(request.units(), nowNanos));
        return QuotaAnswer.GRANTED_OFFLINE;
    }

    /** Drops keys without recent grants, since keys come and go with table versions. */
    private Grants grants(QuotaRequest request, long nowNanos) {
        Grants grants = mGrants.get(request.key());
        if (grants == null) {
            long oldestNanos = nowNanos - request.limit().window().toNanos();
            mGrants.values().forEach(other -> other.removeBefore(oldestNanos));
            mGrants.values().removeIf(other -> other.mOldestFirst.isEmpty());
            grants = new Grants();
            mGrants.put(request.key(), grants);
        }
        return grants;
    }
}
