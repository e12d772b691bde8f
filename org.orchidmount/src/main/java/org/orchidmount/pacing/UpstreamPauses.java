/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.pacing;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.internal.log.PartLog;
import org.orchidmount.membership.Incarnation;

/**
 * Pauses that upstreams have requested of this instance. An upstream requests a pause of each
 * instance separately, so pauses are not distributed.
 *
 * <p>Invariants: a pause is never shortened, neither by a later response that requests a shorter
 * one nor by one that requests none; it ends with the incarnation that requested it. Thread-safe.
 */
public final class UpstreamPauses {
    private static final PartLog LOG = PartLog.of("pacing");

    private final MonotonicClock mClock;
    private final Map<Incarnation, Long> mEndNanos = new ConcurrentHashMap<>();
    private final AtomicLong mRequested = new AtomicLong();
    private final UnreadableStatements mUnreadable = UnreadableStatements.ofRetryTimes();

    /**
     * Creates an empty set of pauses.
     *
     * @param clock monotonic clock
     */
    public UpstreamPauses(MonotonicClock clock) {
        mClock = clock;
    }

    /**
     * Processes the statement of a response, which must come from that incarnation and belong to a
     * call of this instance.
     *
     * @param upstream incarnation that responded
     * @param statement statement of the response
     */
    public void observe(Incarnation upstream, PauseStatement statement) {
        if (statement instanceof PauseStatement.Lasting pause) {
            extend(upstream, pause.length());
        } else if (statement instanceof PauseStatement.Unreadable unreadable) {
            mUnreadable.add(upstream.toString(), unreadable.text());
        }
    }

    private void extend(Incarnation upstream, Duration length) {
        mRequested.incrementAndGet();
        long endNanos = mClock.nanoTime() + length.toNanos();
        if (!isPaused(upstream)) {
            LOG.info(
                    "upstream %s requested a pause of this instance for %d ms",
                    upstream, length.toMillis());
        }
        mEndNanos.merge(upstream, endNanos, (known, stated) -> stated - known > 0 ? stated : known);
    }

    /**
     * Returns whether an upstream has requested a pause that is not over.
     *
     * @param upstream incarnation of the upstream
     * @return true if nothing is to be sent to it now
     */
    public boolean isPaused(Incarnation upstream) {
        return remaining(upstream).isPositive();
    }

    /**
     * Returns the remaining time of the pause of an upstream.
     *
     * @param upstream incarnation of the upstream
     * @return remaining time; zero if it has requested no pause or the pause is over
     */
    public Duration remaining(Incarnation upstream) {
        Long endNanos = mEndNanos.get(upstream);
        if (endNanos == null) {
            return Duration.ZERO;
        }
        long remainingNanos = endNanos - mClock.nanoTime();
        if (remainingNanos <= 0) {
            mEndNanos.remove(upstream, endNanos);
            return Duration.ZERO;
        }
        return Duration.ofNanos(remainingNanos);
    }

    /**
     * Returns the upstreams whose pauses are not over.
     *
     * @return identities of the upstreams
     */
    public Set<String> paused() {
        return mEndNanos.isEmpty()
                ? Set.of()
                : mEndNanos.keySet().stream()
                        .filter(this::isPaused)
                        .map(Incarnation::id)
                        .collect(Collectors.toSet());
    }

    /**
     * Removes the pauses of upstreams that have ended.
     *
     * @param hasEnded selects the incarnations to remove
     */
    public void forget(Predicate<Incarnation> hasEnded) {
        mEndNanos.keySet().removeIf(hasEnded);
    }

    /** Returns the counters, for logs. */
    @Override
    public String toString() {
        return "%d pauses requested, %d pauses unreadable"
                .formatted(mRequested.get(), mUnreadable.count());
    }
}
