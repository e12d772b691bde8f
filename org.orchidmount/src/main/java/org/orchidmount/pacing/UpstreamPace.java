/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.pacing;

import java.util.OptionalDouble;
import java.util.concurrent.atomic.AtomicLong;
import org.orchidmount.internal.log.PartLog;
import org.orchidmount.membership.Incarnation;

/** What the requests of one instance hear of limits of upstreams. Thread-safe. */
public final class UpstreamPace {
    private static final PartLog LOG = PartLog.of("pacing");

    /** The longest foreign text in a line. */
    private static final int MAX_LOGGED_CHARACTERS = 100;

    private final UpstreamLimits mLimits;
    private final AtomicLong mChanges = new AtomicLong();
    private final AtomicLong mUnreadable = new AtomicLong();

    /**
     * Creates it.
     *
     * @param limits holds what is known
     */
    public UpstreamPace(UpstreamLimits limits) {
        mLimits = limits;
    }

    /**
     * Learns from a response, which must be of that incarnation and to that request.
     *
     * @param upstream the incarnation that responded
     * @param statement what it states
     * @param sentNanos when its request was sent, by the clock
     */
    public void heard(Incarnation upstream, LimitStatement statement, long sentNanos) {
        if (statement instanceof LimitStatement.Unreadable unreadable) {
            logUnreadable(upstream, unreadable.text());
            return;
        }
        OptionalDouble stated =
                statement instanceof LimitStatement.PerSecond limit
                        ? OptionalDouble.of(limit.perSecond())
                        : OptionalDouble.empty();
        if (mLimits.observe(upstream, stated, sentNanos).isPresent()) {
            mChanges.incrementAndGet();
        }
    }

    /** Logs the first, the second, the fourth and so on, so that lines stay few. */
    private void logUnreadable(Incarnation upstream, String text) {
        long count = mUnreadable.incrementAndGet();
        if (Long.bitCount(count) == 1) {
            int length = Math.min(text.length(), MAX_LOGGED_CHARACTERS);
            LOG.warn(
                    "upstream %s states a limit that is no number, %d such answers so far: %s;"
                            + " what was known holds on",
                    upstream, count, text.substring(0, length).replaceAll("[^ -~]", "?"));
        }
    }

    /** Returns what was counted, for logs. */
    @Override
    public String toString() {
        return "%d changes of limits heard, %d statements unreadable"
                .formatted(mChanges.get(), mUnreadable.get());
    }
}
