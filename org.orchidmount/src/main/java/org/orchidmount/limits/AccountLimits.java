/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.limits;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.orchidmount.quota.QuotaAnswer;
import org.orchidmount.quota.QuotaLimit;
import org.orchidmount.quota.QuotaRequest;
import org.orchidmount.quota.QuotaTolerance;
import org.orchidmount.quota.SharedQuota;
import org.orchidmount.routes.ClientAccount;

/** Enforces the limits of client accounts across all instances. Thread-safe. */
public final class AccountLimits {
    /**
     * Fraction of the latency target that a request may wait for an answer from the owner of a
     * limit; it waits at most twice. An answer takes a round trip of one or two milliseconds, so
     * the wait does not make the request late.
     */
    private static final double OWNER_WAIT_SHARE = 0.06;

    /** Result for a request without a limit. */
    public static final Grant UNLIMITED = new Grant(Optional.empty(), QuotaAnswer.GRANTED);

    private final SharedQuota mQuota;
    private final QuotaTolerance mTolerance;

    /**
     * Result of acquiring units from a limit. Immutable.
     *
     * @param request the units requested; empty if the account has no limit
     * @param answer whether the request may run
     */
    public record Grant(Optional<QuotaRequest> request, QuotaAnswer answer) {}

    /**
     * Creates the limits.
     *
     * @param quota quota shared by all instances
     * @param tolerance amount by which the site lets a window exceed a limit
     */
    public AccountLimits(SharedQuota quota, QuotaTolerance tolerance) {
        mQuota = quota;
        mTolerance = tolerance;
    }

    /**
     * Acquires the units of a request from the limit of its account.
     *
     * @param account the request's account
     * @param tableVersion version of the table that defines the limit
     * @param statedTokens number of tokens stated by the request, if any
     * @param target latency target of the request
     * @return the result, which states whether the request may run
     * @throws InterruptedException if the thread is interrupted
     */
    public Grant acquire(
            ClientAccount account, long tableVersion, OptionalLong statedTokens, Duration target)
            throws InterruptedException {
        if (account.limit().isEmpty()) {
            return UNLIMITED;
        }
        ClientAccount.Limit limit = account.limit().get();
        QuotaLimit shared = mTolerance.limit(limit.ratePerSecond(), limit.burst());
        QuotaRequest request =
                new QuotaRequest(account.name(), shared, tableVersion, limit.units(statedTokens));
        Duration maxWait = Duration.ofNanos((long) (OWNER_WAIT_SHARE * target.toNanos()));
        return new Grant(Optional.of(request), mQuota.acquire(request, maxWait));
    }

    /**
     * Returns the units of a request that has not run.
     *
     * @param grant result of {@link #acquire} for the request
     */
    public void refund(Grant grant) {
        grant.request().ifPresent(request -> mQuota.refund(request, grant.answer()));
    }
}
