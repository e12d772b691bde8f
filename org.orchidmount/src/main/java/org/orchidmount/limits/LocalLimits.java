/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.orchidmount.internal.lock.LockRank;
import org.orchidmount.internal.lock.OrderedLock;
import org.orchidmount.table.AccountRow;

/**
 * Counts requests at this instance against the limits of accounts, classes, models and pools.
 *
 * <p>Invariant: a request counts against all its limits or against none. Thread-safe.
 */
public final class LocalLimits {
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final OrderedLock mLock = new OrderedLock(LockRank.LIMITS);
    private final Map<String, Integer> mRunning = new HashMap<>();
    private final Map<String, Bucket> mBuckets = new HashMap<>();

    /**
     * Acquires one request from an account's rate limit at this instance (token bucket). A burst of
     * up to one second's worth of requests is allowed.
     *
     * @param account the account
     * @param nowNanos current monotonic time
     * @return 0 if the request may proceed, otherwise the milliseconds after which to retry
     */
    public long tryAcquireRate(AccountRow account, long nowNanos) {
        if (account.requestsPerSecond() == 0) {
            return 0;
        }
        int rate = account.requestsPerSecond();
        try (OrderedLock.Held _ = mLock.hold()) {
            Bucket old = mBuckets.get(account.name());
            double tokens =
                    old == null
                            ? rate
                            : Math.min(
                                    rate,
                                    old.tokens()
                                            + (nowNanos - old.atNanos()) / NANOS_PER_SECOND * rate);
            boolean allowed = tokens >= 1;
            mBuckets.put(account.name(), new Bucket(allowed ? tokens - 1 : tokens, nowNanos));
            return allowed ? 0 : (long) Math.ceil((1 - tokens) / rate * 1000);
        }
    }

    /**
     * Counts a request against several limits at once.
     *
     * @param limits the limits; a maximum of 0 counts the request without limiting it
     * @return the first limit that is reached, or empty if the request was counted
     */
    public Optional<Limit> tryAcquire(List<Limit> limits) {
        try (OrderedLock.Held _ = mLock.hold()) {
            for (Limit limit : limits) {
                boolean limited = limit.max() > 0;
                int running = mRunning.getOrDefault(limit.key(), 0);
                if (limited && running >= limit.max()) {
                    return Optional.of(limit);
                }
            }
            limits.forEach(limit -> mRunning.merge(limit.key(), 1, Integer::sum));
            return Optional.empty();
        }
    }

    /**
     * Stops counting a request.
     *
     * @param limits the limits given to {@link #tryAcquire}
     */
    public void release(List<Limit> limits) {
        try (OrderedLock.Held _ = mLock.hold()) {
            for (Limit limit : limits) {
                mRunning.computeIfPresent(
                        limit.key(), (key, count) -> count == 1 ? null : count - 1);
            }
        }
    }

    /**
     * Returns the number of requests that count against a key.
     *
     * @param key key of a limit
     * @return the number, 0 for an unknown key
     */
    public int running(String key) {
        try (OrderedLock.Held _ = mLock.hold()) {
            return mRunning.getOrDefault(key, 0);
        }
    }

    /**
     * Returns all keys that requests count against.
     *
     * @return keys with their numbers of requests in place of the maximum
     */
    public List<Limit> all() {
        try (OrderedLock.Held _ = mLock.hold()) {
            List<Limit> all = new ArrayList<>();
            mRunning.forEach((key, count) -> all.add(new Limit(key, count)));
            return all;
        }
    }

    /**
     * A limit on concurrent requests. Immutable.
     *
     * @param key what is limited, for example "pool sm-decode"
     * @param max maximum number of requests at this instance, 0 for no limit
     */
    public record Limit(String key, int max) {}

    private record Bucket(double tokens, long atNanos) {}
}
