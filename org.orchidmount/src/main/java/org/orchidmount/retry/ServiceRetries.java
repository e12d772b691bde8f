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
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.LongAdder;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.internal.lock.LockRank;
import org.orchidmount.internal.lock.OrderedLock;
import org.orchidmount.limits.RetryBudget;

/**
 * The retries of one service at one entry.
 *
 * <p>The owner is asked for each retry. While none answers, retries are covered by the requests of
 * this entry that were not reported, without slack. Invariant: a request covers retries either here
 * or at the owner. Thread-safe.
 */
public final class ServiceRetries {
    /** Time for which the owner is not asked after it has not answered. */
    private static final Duration OWNER_BACKOFF = Duration.ofMillis(500);

    private final String mService;
    private final RetryLimit mLimit;
    private final RetryOwnerClient mOwner;
    private final RetryBudget mShareWithoutOwner;
    private final MonotonicClock mClock;
    private final OrderedLock mLock = new OrderedLock(LockRank.LIMITS);
    private final RetryCredit mUnreported = new RetryCredit(RetryLimit.MAX_CREDIT_AGE, 0, 0);
    private final RefusalStreak mRefusals;

    /** Times at which the permits expire that requests have acquired and not needed. */
    private final Deque<Long> mUnusedPermitNanos = new ArrayDeque<>();

    private final LongAdder mGranted = new LongAdder();
    private final LongAdder mGrantedHere = new LongAdder();
    private final LongAdder mRefused = new LongAdder();
    private volatile long mExhaustedUntilNanos;
    private volatile long mOwnerSilentUntilNanos;

    /**
     * Creates the retries of a service without requests.
     *
     * @param service name of the service
     * @param limit limit of all instances
     * @param owner client of the owner
     * @param shareWithoutOwner the equal share of this entry, used with an owner of an earlier
     *     build
     * @param clock monotonic clock
     */
    ServiceRetries(
            String service,
            RetryLimit limit,
            RetryOwnerClient owner,
            RetryBudget shareWithoutOwner,
            MonotonicClock clock) {
        mService = service;
        mLimit = limit;
        mOwner = owner;
        mShareWithoutOwner = shareWithoutOwner;
        mClock = clock;
        mRefusals = new RefusalStreak(clock);
        mExhaustedUntilNanos = clock.nanoTime();
        mOwnerSilentUntilNanos = clock.nanoTime();
    }

    /** Records a request for the service. */
    public void recordRequest() {
        mShareWithoutOwner.recordRequest();
        try (OrderedLock.Held _ = mLock.hold()) {
            mUnreported.add(1, mLimit.creditPerRequest(), mClock.nanoTime());
        }
    }

    /**
     * Acquires some retries, or none.
     *
     * @param retries number of retries, at least 1
     * @return monotonic time until which they may be sent; empty if the limit is used up
     * @throws InterruptedException if the thread is interrupted
     */
    OptionalLong tryAcquire(int retries) throws InterruptedException {
        long nowNanos = mClock.nanoTime();
        OptionalLong unused = takeUnused(retries, nowNanos);
        if (unused.isPresent()) {
            return unused;
        }
        long untilNanos = nowNanos + RetryLimit.PERMIT_LIFETIME.toNanos();
        boolean isGranted =
                nowNanos - mExhaustedUntilNanos >= 0
                        && (nowNanos - mOwnerSilentUntilNanos < 0
                                ? tryAcquireHere(retries)
                                : tryAcquireFromOwner(retries));
        (isGranted ? mGranted : mRefused).add(retries);
        return isGranted ? OptionalLong.of(untilNanos) : OptionalLong.empty();
    }

    private OptionalLong takeUnused(int retries, long nowNanos) {
        try (OrderedLock.Held _ = mLock.hold()) {
            mUnusedPermitNanos.removeIf(untilNanos -> nowNanos - untilNanos >= 0);
            if (mUnusedPermitNanos.size() < retries) {
                return OptionalLong.empty();
            }
            long untilNanos = mUnusedPermitNanos.getFirst();
            for (int i = 0; i < retries; i++) {
                untilNanos = Math.min(untilNanos, mUnusedPermitNanos.removeFirst());
            }
            return OptionalLong.of(untilNanos);
        }
    }

    /** Keeps a permit that a request does not need, for other requests until it expires. */
    void giveBack(long untilNanos) {
        try (OrderedLock.Held _ = mLock.hold()) {
            mUnusedPermitNanos.addLast(untilNanos);
        }
    }

    private boolean tryAcquireFromOwner(int retries) throws InterruptedException {
        RetryAnswer answer = await(mOwner.request(report(retries)));
        return switch (answer.outcome()) {
            case GRANTED -> true;
            case EXHAUSTED -> {
                mExhaustedUntilNanos = mClock.nanoTime() + answer.retryAfter().toNanos();
                yield false;
            }
            case NO_OWNER -> {
                mOwnerSilentUntilNanos = mClock.nanoTime() + OWNER_BACKOFF.toNanos();
                yield tryAcquireHere(retries);
            }
            case UNSUPPORTED -> tryAcquireShare(retries);
        };
    }

    private boolean tryAcquireHere(int retries) {
        try (OrderedLock.Held _ = mLock.hold()) {
            boolean isCovered = mUnreported.tryTake(retries, mClock.nanoTime());
            mGrantedHere.add(isCovered ? retries : 0);
            return isCovered;
        }
    }

    private boolean tryAcquireShare(int retries) {
        int acquired = 0;
        while (acquired < retries && mShareWithoutOwner.tryAcquire()) {
            acquired++;
        }
        for (int i = 0; acquired < retries && i < acquired; i++) {
            mShareWithoutOwner.refund();
        }
        return acquired == retries;
    }

    private static RetryAnswer await(CompletableFuture<RetryAnswer> answer)
            throws InterruptedException {
        try {
            return answer.get(RetryLimit.PERMIT_LIFETIME.toNanos(), TimeUnit.NANOSECONDS);
        } catch (TimeoutException e) {
            answer.complete(RetryAnswer.NO_OWNER);
            return RetryAnswer.NO_OWNER;
        } catch (ExecutionException e) {
            throw new IllegalStateException("request to the owner of retries failed", e);
        }
    }

    /** Records what became of a run. */
    void runEnded(ArrivalHistory.Result result) {
        if (result == ArrivalHistory.Result.REFUSED) {
            mRefusals.refused();
        } else if (result == ArrivalHistory.Result.ACCEPTED) {
            mRefusals.accepted();
        }
    }

    /** Returns how long upstreams have refused all runs; zero while retries may be of use. */
    Duration uselessFor() {
        return mRefusals.uselessFor();
    }

    /** Returns a request to the owner that reports the requests since the previous one. */
    RetryRequest report(int retries) {
        try (OrderedLock.Held _ = mLock.hold()) {
            int requests =
                    mUnreported.removeRequests(
                            RetryLimit.MAX_REPORT_AGE,
                            mLimit.creditPerRequest(),
                            mClock.nanoTime());
            return new RetryRequest(mService, mLimit, requests, retries);
        }
    }

    @Override
    public String toString() {
        return "%s: %d retries granted, %d of them without an owner, %d refused"
                .formatted(mService, mGranted.sum(), mGrantedHere.sum(), mRefused.sum());
    }
}
