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
import org.orchidmount.quota.QuotaLimit;
import org.orchidmount.quota.QuotaRequest;
import org.orchidmount.quota.SharedQuota;

/**
 * Run locks granted by the owner of the shared limits. A lock is one unit, which is returned when
 * the run has ended, or is refilled within one second, for example if the instance that holds it
 * terminates. While there is no owner, each instance grants locks on its own.
 *
 * <p>Invariant: a crash is announced before the lock is returned, over the same connections, so
 * that the next holder of the lock knows of it. Thread-safe.
 */
public final class QuotaRunLock implements RunLock {
    private static final String PREFIX = "turn\u0000";

    /** Limit with a burst far below one lock, so that no two locks are granted at once. */
    private static final QuotaLimit LIMIT = new QuotaLimit(1, 0.001, 1, Duration.ofSeconds(1));

    /**
     * Timeout of each of at most two attempts. A busy owner must not be mistaken for a missing one.
     */
    private static final Duration OWNER_TIMEOUT = Duration.ofMillis(250);

    private final SharedQuota mQuota;
    private final Set<RequestFingerprint> mTaken = ConcurrentHashMap.newKeySet();

    /**
     * Creates run locks on top of a shared quota.
     *
     * @param quota quota that reaches the owner
     */
    public QuotaRunLock(SharedQuota quota) {
        mQuota = quota;
    }

    @Override
    public boolean tryAcquire(RequestFingerprint request) {
        try {
            QuotaAnswer answer = mQuota.acquire(quotaRequest(request), OWNER_TIMEOUT);
            if (answer.outcome() == QuotaAnswer.Outcome.GRANTED) {
                mTaken.add(request);
            }
            return answer.isGranted() || answer.outcome() == QuotaAnswer.Outcome.NO_OWNER;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private static QuotaRequest quotaRequest(RequestFingerprint request) {
        return new QuotaRequest(PREFIX + request.hex(), LIMIT, 1, 1);
    }

    @Override
    public void release(RequestFingerprint request) {
        if (mTaken.remove(request)) {
            mQuota.refund(quotaRequest(request), QuotaAnswer.GRANTED);
        }
    }
}
