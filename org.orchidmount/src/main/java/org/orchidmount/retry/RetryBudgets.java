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
    private final WindowRetryBudget.Limit mLimit;
    private final IntSupplier mInstances;
    private final MonotonicClock mClock;

    /**
     * Creates budgets without requests.
     *
     * @param limit limit of all instances, the same for each service
     * @param instances number of instances that share the limit now, at least 1
     * @param clock monotonic clock
     */
    public RetryBudgets(
            WindowRetryBudget.Limit limit, IntSupplier instances, MonotonicClock clock) {
        mLimit = limit;
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
        return mByService.computeIfAbsent(
                service,
                _ -> new ServiceRetries(new WindowRetryBudget(mLimit, mInstances, mClock), mClock));
    }
}
