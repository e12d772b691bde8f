/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.waiting;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.orchidmount.clock.MonotonicClock;

/**
 * Holds the requests that wait for memory of decode engines, own and announced, and wakes the own
 * ones when something has changed.
 *
 * <p>Invariants: a request counts until its end is announced or no announcement of it has arrived
 * for 700 ms. Once it has ended, an older announcement that arrives late over another path does not
 * revive it, but a retry under the same id counts. At most {@value #MAX_REQUESTS} requests are
 * held; those above are dropped and counted. Thread-safe; its lock is the last one taken.
 */
public final class WaitingRequests implements WaitingReceiver {
    /** Two missed announcements: the entry of the request is assumed to have stopped. */
    private static final Duration EXPIRY = Duration.ofMillis(700);

    /** Several times the requests that wait at the design size of 11,000 requests/s. */
    private static final int MAX_REQUESTS = 16_384;

    private final ReentrantLock mLock = new ReentrantLock();
    private final Condition mChanged = mLock.newCondition();
    private final MonotonicClock mClock;
    private final Map<String, Held> mRequests = new HashMap<>();
    private long mChanges;
    private long mDropped;

    private record Held(WaitingRequest request, long receivedNanos) {
        boolean isExpired(long nowNanos) {
            return nowNanos - receivedNanos > EXPIRY.toNanos();
        }

        long arrivedNanos() {
            return receivedNanos - TimeUnit.MILLISECONDS.toNanos(request.waitedMillis());
        }

        /** Returns whether a later announcement with the same id is of another request. */
        boolean isFollowedBy(Held next) {
            return next.arrivedNanos() - receivedNanos >= 0;
        }

        WaitingRequest at(long nowNanos) {
            long millis = TimeUnit.NANOSECONDS.toMillis(nowNanos - receivedNanos);
            return new WaitingRequest(
                    request.id(),
                    request.service(),
                    request.account(),
                    request.urgency(),
                    request.promptTokens(),
                    request.expectedTokens(),
                    request.waitedMillis() + millis,
                    request.remainingMillis() - millis,
                    request.ended());
        }
    }

    /**
     * Creates an empty set.
     *
     * @param clock the clock
     */
    public WaitingRequests(MonotonicClock clock) {
        mClock = clock;
    }

    @Override
    public void onWaiting(List<WaitingRequest> requests) {
        mLock.lock();
        try {
            boolean hasEnded = false;
            for (WaitingRequest request : requests) {
                hasEnded |= apply(request);
            }
            if (hasEnded) {
                signalChange();
            }
        } finally {
            mLock.unlock();
        }
    }

    /** Applies one announcement; returns whether a request that counted has ended. */
    private boolean apply(WaitingRequest request) {
        Held next = new Held(request, mClock.nanoTime());
        Held held = mRequests.get(request.id());
        if (held == null) {
            if (mRequests.size() >= MAX_REQUESTS) {
                removeExpired(next.receivedNanos());
            }
            if (mRequests.size() >= MAX_REQUESTS) {
                mDropped++;
                return false;
            }
        } else if (held.request().ended() && !held.isFollowedBy(next)) {
            return false;
        }
        mRequests.put(request.id(), next);
        return request.ended();
    }

    private void removeExpired(long nowNanos) {
        mRequests.values().removeIf(held -> held.isExpired(nowNanos));
    }

    /**
     * Returns the requests that wait for engines of a service.
     *
     * @param service the service
     * @return the requests with their times as of now, in no particular order
     */
    public List<WaitingRequest> waiting(String service) {
        mLock.lock();
        try {
            long nowNanos = mClock.nanoTime();
            removeExpired(nowNanos);
            List<WaitingRequest> waiting = new ArrayList<>();
            for (Held held : mRequests.values()) {
                if (!held.request().ended() && held.request().service().equals(service)) {
                    waiting.add(held.at(nowNanos));
                }
            }
            return waiting;
        } finally {
            mLock.unlock();
        }
    }

    /** Wakes the threads that wait for a change, for example because a sequence has ended. */
    public void changed() {
        mLock.lock();
        try {
            signalChange();
        } finally {
            mLock.unlock();
        }
    }

    private void signalChange() {
        mChanges++;
        mChanged.signalAll();
    }

    /**
     * Returns the number of changes so far, for {@link #awaitChange}.
     *
     * @return the number
     */
    public long changes() {
        mLock.lock();
        try {
            return mChanges;
        } finally {
            mLock.unlock();
        }
    }

    /**
     * Waits until something has changed since a point in time.
     *
     * @param changes the number of changes at that point
     * @param longest the longest wait
     * @throws InterruptedException if the thread is interrupted
     */
    public void awaitChange(long changes, Duration longest) throws InterruptedException {
        mLock.lockInterruptibly();
        try {
            long leftNanos = longest.toNanos();
            while (mChanges == changes && leftNanos > 0) {
                leftNanos = mChanged.awaitNanos(leftNanos);
            }
        } finally {
            mLock.unlock();
        }
    }

    /**
     * Returns the number of announcements dropped because too many requests were held.
     *
     * @return the number
     */
    public long dropped() {
        mLock.lock();
        try {
            return mDropped;
        } finally {
            mLock.unlock();
        }
    }
}
