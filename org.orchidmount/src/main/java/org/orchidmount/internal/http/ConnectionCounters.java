/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import java.util.concurrent.atomic.LongAdder;

/**
 * Counts what the connections to upstreams were used for, and the responses that were not those of
 * their calls.
 *
 * <p>Invariant: no count ever falls. Thread-safe.
 */
public final class ConnectionCounters {
    private final LongAdder mOpened = new LongAdder();
    private final LongAdder mReused = new LongAdder();
    private final LongAdder mSurplus = new LongAdder();

    void opened() {
        mOpened.increment();
    }

    void reused() {
        mReused.increment();
    }

    void surplus() {
        mSurplus.increment();
    }

    /**
     * Returns how many connections were opened.
     *
     * @return a count of connections
     */
    public long openedCount() {
        return mOpened.sum();
    }

    /**
     * Returns how many calls were made on a connection that had served a call before.
     *
     * @return a count of calls
     */
    public long reusedCount() {
        return mReused.sum();
    }

    /**
     * Returns how often an upstream sent more than it was asked for: a response with another
     * identity than that of the call under way, one without any on a connection that was used
     * before, or bytes while no call was under way.
     *
     * @return a count of occurrences
     */
    public long surplusCount() {
        return mSurplus.sum();
    }

    @Override
    public String toString() {
        return "%d connections opened, %d calls on kept ones, %d surplus responses"
                .formatted(openedCount(), reusedCount(), surplusCount());
    }
}
