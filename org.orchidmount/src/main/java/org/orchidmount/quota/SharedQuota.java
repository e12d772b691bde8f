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

/** Takes units of limits that all instances share. Thread-safe. */
public final class SharedQuota {
    private static final PartLog LOG = PartLog.of("quota");

    private final QuotaOwnerClient mOwner;

    /**
     * Creates a quota.
     *
     * @param owner reaches the owner
     */
    public SharedQuota(QuotaOwnerClient owner) {
        mOwner = owner;
    }

    /**
     * Takes units. If the owner is silent, others that may grant some are asked.
     *
     * @param ask what is to be used
     * @param longest how long each of the two answers is waited for
     * @return granted; or not, and when to come back
     * @throws InterruptedException if the thread is interrupted
     */
    public QuotaAnswer take(QuotaAsk ask, Duration longest) throws InterruptedException {
        QuotaAnswer answer = await(mOwner.askOwner(ask), longest);
        if (answer.outcome() != QuotaAnswer.Outcome.NO_OWNER) {
            return answer;
        }
        QuotaAnswer second = await(mOwner.askOwner(ask), longest);
        LOG.debug("%s: no owner answered, then %s", ask.key(), second.outcome());
        return second;
    }

    private static QuotaAnswer await(CompletableFuture<QuotaAnswer> answer, Duration longest)
            throws InterruptedException {
        try {
            return answer.get(longest.toNanos(), TimeUnit.NANOSECONDS);
        } catch (TimeoutException e) {
            // An answer that comes just now counts; one that comes later is given back.
            answer.complete(QuotaAnswer.NO_OWNER);
            return answer.join();
        } catch (ExecutionException e) {
            throw new IllegalStateException("an answer of the owner failed", e);
        }
    }

    /**
     * Gives units back that were taken and not used. What was taken without the owner is not: its
     * bucket never held it.
     *
     * @param ask what was taken
     * @param answer how it was granted
     */
    public void giveBack(QuotaAsk ask, QuotaAnswer answer) {
        if (answer.outcome() == QuotaAnswer.Outcome.GRANTED) {
            mOwner.giveBack(ask.key(), ask.units());
        }
    }
}
