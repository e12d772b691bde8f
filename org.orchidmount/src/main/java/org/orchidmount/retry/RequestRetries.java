/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.retry;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalLong;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.retry.ArrivalHistory.Phase;
import org.orchidmount.retry.ArrivalHistory.Result;

/**
 * Charges the retries of one request when they are sent.
 *
 * <p>Invariant: a retry is sent only with a permit that is still valid. Permits that were not
 * needed serve what the request sends next, or other requests, until they expire. Confined to one
 * thread.
 */
public final class RequestRetries implements AutoCloseable {
    private final ServiceRetries mService;
    private final MonotonicClock mClock;

    /** Times at which the held permits expire, the earliest first. */
    private final Deque<Long> mPermitNanos = new ArrayDeque<>();

    private ArrivalHistory mHistory = ArrivalHistory.NONE;
    private boolean mIsExhausted;

    /**
     * Creates the retries of a request of which nothing was sent.
     *
     * @param service the retries of its service
     * @param clock monotonic clock
     */
    public RequestRetries(ServiceRetries service, MonotonicClock clock) {
        mService = service;
        mClock = clock;
    }

    /**
     * Acquires what is needed to send something now.
     *
     * @param phase what is to be sent
     * @return false if it may not be sent, because the limit on retries is used up
     * @throws InterruptedException if the thread is interrupted
     */
    public boolean tryBegin(Phase phase) throws InterruptedException {
        removeExpired();
        int missing = mHistory.permitsBefore(phase) - mPermitNanos.size();
        if (missing <= 0) {
            return true;
        }
        OptionalLong untilNanos = mService.tryAcquire(missing);
        mIsExhausted = untilNanos.isEmpty();
        for (int i = 0; i < missing && untilNanos.isPresent(); i++) {
            mPermitNanos.addLast(untilNanos.getAsLong());
        }
        return !mIsExhausted;
    }

    private void removeExpired() {
        long nowNanos = mClock.nanoTime();
        mPermitNanos.removeIf(untilNanos -> nowNanos - untilNanos >= 0);
    }

    /**
     * Records what became of something that was begun.
     *
     * @param phase what was sent
     * @param result what became of it
     */
    public void ended(Phase phase, Result result) {
        ArrivalHistory after = mHistory.after(phase, result);
        for (int i = mHistory.retries(); i < after.retries(); i++) {
            mPermitNanos.pollFirst();
        }
        mHistory = after;
        if (phase == Phase.RUN) {
            mService.runEnded(result);
        }
    }

    /** Gives the permits back that were not needed. */
    @Override
    public void close() {
        mPermitNanos.forEach(mService::giveBack);
        mPermitNanos.clear();
    }

    /**
     * Returns how long the upstreams of the service have refused all runs.
     *
     * @return the duration if a further retry is useless, zero otherwise
     */
    public Duration uselessFor() {
        return mService.uselessFor();
    }

    /**
     * Returns whether the latest attempt to send something failed because the limit is used up.
     *
     * @return true if nothing more should be sent
     */
    public boolean isExhausted() {
        return mIsExhausted;
    }
}
