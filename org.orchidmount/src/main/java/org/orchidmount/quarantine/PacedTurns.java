/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.quarantine;

import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.orchidmount.quota.QuotaAnswer;
import org.orchidmount.quota.QuotaAsk;
import org.orchidmount.quota.QuotaLimit;
import org.orchidmount.quota.SharedQuota;

/**
 * Turns that the owner of shared limits gives: each is a unit that is given back when the run has
 * ended, or comes back by itself within a second, as when the instance that has it ends. While
 * there is no owner each instance gives turns by itself.
 *
 * <p>Invariant: a crash is announced before the turn is given back, on the same links, so that
 * whoever has the next turn knows of it. Thread-safe.
 */
public final class PacedTurns implements SharedTurns {
    private static final String PREFIX = "turn\u0000";

    /** A burst far below one turn, so that no two are given at once. */
    private static final QuotaLimit LIMIT = new QuotaLimit(1, 0.001, 1, Duration.ofSeconds(1));

    /** Waited for twice at most. An owner that is busy must not be taken for none. */
    private static final Duration OWNER_WAIT = Duration.ofMillis(250);

    private final SharedQuota mQuota;
    private final Set<RequestFingerprint> mTaken = ConcurrentHashMap.newKeySet();

    /**
     * Creates it.
     *
     * @param quota reaches the owner
     */
    public PacedTurns(SharedQuota quota) {
        mQuota = quota;
    }

    @Override
    public boolean tryTake(RequestFingerprint request) {
        try {
            QuotaAnswer answer = mQuota.take(ask(request), OWNER_WAIT);
            if (answer.outcome() == QuotaAnswer.Outcome.GRANTED) {
                mTaken.add(request);
            }
            return answer.isGranted() || answer.outcome() == QuotaAnswer.Outcome.NO_OWNER;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private static QuotaAsk ask(RequestFingerprint request) {
        return new QuotaAsk(PREFIX + request.hex(), LIMIT, 1, 1);
    }

    @Override
    public void end(RequestFingerprint request) {
        if (mTaken.remove(request)) {
            mQuota.giveBack(ask(request), QuotaAnswer.GRANTED);
        }
    }
}
