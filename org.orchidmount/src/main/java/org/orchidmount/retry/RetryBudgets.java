/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.retry;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.function.IntSupplier;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.limits.WindowRetryBudget;

/** The retries of all services at one entry. Thread-safe. */
public final class RetryBudgets {
    private final ConcurrentMap<String, ServiceRetries> mByService = new ConcurrentHashMap<>();
    private final RetryLimit mLimit;
    private final RetryOwnerClient mOwner;
    private final IntSupplier mInstances;
    private final MonotonicClock mClock;

    /**
     * Creates budgets without requests.
     *
     * @param limit limit of all instances, the same for each service
     * @param owner client of the owner
     * @param instances number of instances that divide the limit while the owner is of an earlier
     *     build, at least 1
     * @param clock monotonic clock
     */
    public RetryBudgets(
            RetryLimit limit, RetryOwnerClient owner, IntSupplier instances, MonotonicClock clock) {
        mLimit = limit;
        mOwner = owner;
        mInstances = instances;
        mClock = clock;
    }

    /**
     * Returns the retries of a service, created on first use.
     *
     * @param service name of the service
     * @return its retries
     */
    public ServiceRetries of(String service) {
        return mByService.computeIfAbsent(service, this::create);
    }

    private ServiceRetries create(String service) {
        WindowRetryBudget share =
                new WindowRetryBudget(
                        new WindowRetryBudget.Limit(
                                mLimit.ratio(), mLimit.window(), mLimit.slack()),
                        mInstances,
                        mClock);
        return new ServiceRetries(service, mLimit, mOwner, share, mClock);
    }

    /**
     * Returns a report of the requests for a service since the previous one.
     *
     * @param service name of the service
     * @return a request to the owner for no retries
     */
    public RetryRequest report(String service) {
        return of(service).report(0);
    }

    @Override
    public String toString() {
        return mByService.values().toString();
    }
}
