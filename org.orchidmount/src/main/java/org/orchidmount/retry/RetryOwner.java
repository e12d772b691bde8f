/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.retry;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Grants the retries of all services, at the one instance that holds the lease.
 *
 * <p>Invariant: what was granted under an earlier lease is not known, so a new lease begins without
 * slack, see {@link RetryLedger}. Not thread-safe; callers pass the time in.
 */
public final class RetryOwner {
    /** Time after the last request for retries for which entries report requests. */
    private static final Duration DEMAND_LIFETIME = Duration.ofSeconds(3);

    /** Time after which a ledger equals a new one of the same lease. */
    private static final int RETENTION_WINDOWS = 3;

    /** Requests per second that all entries together make while the limit is used up. */
    private static final double MAX_REFUSALS_PER_SECOND = 4_000;

    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(20);

    private final Map<String, RetryLedger> mLedgers = new HashMap<>();
    private long mLease;
    private long mLeaseNanos;
    private boolean mIsFirstLease;

    /**
     * Sets the lease under which the following requests are answered.
     *
     * @param lease number of the lease, which increases with each holder
     * @param isFirstLease whether no other lease was held before
     * @param nowNanos monotonic time
     */
    public void hold(long lease, boolean isFirstLease, long nowNanos) {
        if (lease != mLease) {
            mLedgers.clear();
            mLease = lease;
            mLeaseNanos = nowNanos;
            mIsFirstLease = isFirstLease;
        }
    }

    /**
     * Answers a request under the lease.
     *
     * @param request the request
     * @param entries the entries that share the limit
     * @param nowNanos monotonic time, not before that of the previous call
     * @return granted or exhausted
     */
    public RetryAnswer ask(RetryRequest request, Entries entries, long nowNanos) {
        RetryLedger ledger =
                mLedgers.computeIfAbsent(
                        request.service(),
                        _ -> new RetryLedger(request.limit(), mLeaseNanos, mIsFirstLease));
        ledger.recordRequests(request.requests(), nowNanos);
        if (request.retries() == 0) {
            return RetryAnswer.GRANTED;
        }
        boolean isGranted =
                ledger.tryGrant(
                        request.limit(), request.retries(), entries.supportingShare(), nowNanos);
        return isGranted ? RetryAnswer.GRANTED : RetryAnswer.exhausted(retryAfter(entries));
    }

    private static Duration retryAfter(Entries entries) {
        long nanos =
                (long) (Duration.ofSeconds(1).toNanos() * entries.all() / MAX_REFUSALS_PER_SECOND);
        return Duration.ofNanos(Math.max(MIN_RETRY_AFTER.toNanos(), nanos));
    }

    /**
     * Returns the services whose requests should be reported, and forgets those that were not asked
     * for in a long time.
     *
     * @param nowNanos monotonic time
     * @return names of services
     */
    public List<String> demanded(long nowNanos) {
        mLedgers.values()
                .removeIf(
                        ledger ->
                                nowNanos - ledger.askedNanos()
                                        > RETENTION_WINDOWS * ledger.windowNanos());
        return mLedgers.entrySet().stream()
                .filter(
                        entry ->
                                nowNanos - entry.getValue().askedNanos()
                                        < DEMAND_LIFETIME.toNanos())
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Returns the use of all limits under this lease.
     *
     * @param entries the entries that share the limits
     * @param nowNanos monotonic time
     * @return use by service, in no particular order
     */
    public List<RetryUse> uses(Entries entries, long nowNanos) {
        return mLedgers.entrySet().stream()
                .map(
                        entry ->
                                entry.getValue()
                                        .use(entry.getKey(), entries.supportingShare(), nowNanos))
                .toList();
    }

    /**
     * The entries that share the limits.
     *
     * @param all number of entries
     * @param supporting number of those that request retries here; the others, of an earlier build,
     *     use equal parts of the slack without asking
     */
    public record Entries(int all, int supporting) {
        double supportingShare() {
            return all == 0 ? 1 : (double) supporting / all;
        }
    }
}
