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
import org.orchidmount.quota.QuotaAsk;
import org.orchidmount.quota.QuotaLimit;
import org.orchidmount.quota.QuotaTolerance;
import org.orchidmount.quota.SharedQuota;
import org.orchidmount.routes.ClientAccount;

/** Holds client accounts to what they may use over all instances. Thread-safe. */
public final class AccountLimits {
    /**
     * The part of its target that a request may wait for an answer, twice at most; an answer takes
     * a round trip of one or two milliseconds: such a wait does not make it late.
     */
    private static final double OWNER_WAIT_SHARE = 0.06;

    /** For a request that no limit holds. */
    public static final Taken UNLIMITED = new Taken(Optional.empty(), QuotaAnswer.GRANTED);

    private final SharedQuota mQuota;
    private final QuotaTolerance mTolerance;

    /**
     * What was taken for a request, or why nothing was. Immutable.
     *
     * @param ask what was asked for; nothing if its account has no limit
     * @param answer whether the request may run
     */
    public record Taken(Optional<QuotaAsk> ask, QuotaAnswer answer) {}

    /**
     * Creates the limits.
     *
     * @param quota what all instances share
     * @param tolerance by how much the site lets a window exceed a limit
     */
    public AccountLimits(SharedQuota quota, QuotaTolerance tolerance) {
        mQuota = quota;
        mTolerance = tolerance;
    }

    /**
     * Takes what a request uses.
     *
     * @param account its account
     * @param tableVersion the version of the table that states the limit
     * @param statedTokens the tokens that the request states
     * @param target the time within which an answer is of full use
     * @return whether it may run
     * @throws InterruptedException if the thread is interrupted
     */
    public Taken take(
            ClientAccount account, long tableVersion, OptionalLong statedTokens, Duration target)
            throws InterruptedException {
        if (account.limit().isEmpty()) {
            return UNLIMITED;
        }
        ClientAccount.Limit limit = account.limit().get();
        QuotaLimit shared = mTolerance.limit(limit.ratePerSecond(), limit.burst());
        QuotaAsk ask =
                new QuotaAsk(account.name(), shared, tableVersion, limit.units(statedTokens));
        Duration longest = Duration.ofNanos((long) (OWNER_WAIT_SHARE * target.toNanos()));
        return new Taken(Optional.of(ask), mQuota.take(ask, longest));
    }

    /**
     * Gives back what a request took that has not run.
     *
     * @param taken what it took
     */
    public void giveBack(Taken taken) {
        taken.ask().ifPresent(ask -> mQuota.giveBack(ask, taken.answer()));
    }
}
