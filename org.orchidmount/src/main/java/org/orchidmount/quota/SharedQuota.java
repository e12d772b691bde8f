/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.quota;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.orchidmount.internal.log.PartLog;

/** Acquires units of limits that all instances share. Thread-safe. */
public final class SharedQuota {
    private static final PartLog LOG = PartLog.of("quota");

    private final QuotaOwnerClient mOwner;

    /**
     * Creates a quota.
     *
     * @param owner client of the owner
     */
    public SharedQuota(QuotaOwnerClient owner) {
        mOwner = owner;
    }

    /**
     * Acquires units. If the owner does not answer, the request is repeated once, and voters
     * without the lease may grant it.
     *
     * @param request the request
     * @param timeout time to wait in each of the two attempts
     * @return granted; or not, with the time to retry after
     * @throws InterruptedException if the thread is interrupted
     */
    public QuotaAnswer acquire(QuotaRequest request, Duration timeout) throws InterruptedException {
        QuotaAnswer answer = await(mOwner.requestUnits(request), timeout);
        if (answer.outcome() != QuotaAnswer.Outcome.NO_OWNER) {
            return answer;
        }
        QuotaAnswer retried = await(mOwner.requestUnits(request), timeout);
        LOG.debug(
                "%s: quota owner did not answer; result of the second attempt: %s",
                request.key(), retried.outcome());
        return retried;
    }

    private static QuotaAnswer await(CompletableFuture<QuotaAnswer> answer, Duration timeout)
            throws InterruptedException {
        try {
            return answer.get(timeout.toNanos(), TimeUnit.NANOSECONDS);
        } catch (TimeoutException e) {
            // An answer that arrived meanwhile counts; the units of a later one are returned.
            answer.complete(QuotaAnswer.NO_OWNER);
            return answer.join();
        } catch (ExecutionException e) {
            throw new IllegalStateException("request to the quota owner failed", e);
        }
    }

    /**
     * Returns units that were acquired and not used. Units granted without the owner are not
     * returned, because its bucket never counted them.
     *
     * @param request the request that acquired the units
     * @param answer the answer that granted them
     */
    public void refund(QuotaRequest request, QuotaAnswer answer) {
        if (answer.outcome() == QuotaAnswer.Outcome.GRANTED) {
            mOwner.refund(request.key(), request.units());
        }
    }
}
