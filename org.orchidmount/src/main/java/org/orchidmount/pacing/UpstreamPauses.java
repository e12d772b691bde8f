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
 * The pauses that upstreams have asked this instance for. An upstream asks each instance by itself,
 * so what it says is not passed on to the others.
 *
 * <p>Invariants: a pause is never shortened, neither by a later answer that asks for less nor by
 * one that asks for none; it ends with the incarnation that asked for it. Thread-safe.
 */
public final class UpstreamPauses {
    private static final PartLog LOG = PartLog.of("pacing");

    private final MonotonicClock mClock;
    private final Map<Incarnation, Long> mEndNanos = new ConcurrentHashMap<>();
    private final AtomicLong mAsked = new AtomicLong();
    private final UnreadableStatements mUnreadable = UnreadableStatements.ofTimesToComeBack();

    /** Creates it without any pauses. */
    public UpstreamPauses(MonotonicClock clock) {
        mClock = clock;
    }

    /**
     * Learns from a response, which must be of that incarnation and to a call of this instance.
     *
     * @param upstream the incarnation that responded
     * @param statement what it states
     */
    public void observe(Incarnation upstream, PauseStatement statement) {
        if (statement instanceof PauseStatement.Lasting pause) {
            extend(upstream, pause.length());
        } else if (statement instanceof PauseStatement.Unreadable unreadable) {
            mUnreadable.add(upstream.toString(), unreadable.text());
        }
    }

    private void extend(Incarnation upstream, Duration length) {
        mAsked.incrementAndGet();
        long endNanos = mClock.nanoTime() + length.toNanos();
        if (!isPaused(upstream)) {
            LOG.info(
                    "upstream %s takes nothing from this instance for %d ms",
                    upstream, length.toMillis());
        }
        mEndNanos.merge(upstream, endNanos, (known, stated) -> stated - known > 0 ? stated : known);
    }

    /**
     * Tells whether an upstream has asked for a pause that is not over.
     *
     * @param upstream the incarnation
     * @return true if nothing is to be sent to it now
     */
    public boolean isPaused(Incarnation upstream) {
        return left(upstream).isPositive();
    }

    /**
     * Returns what is left of the pause of an upstream.
     *
     * @param upstream the incarnation
     * @return zero if it has asked for none, or that is over
     */
    public Duration left(Incarnation upstream) {
        Long endNanos = mEndNanos.get(upstream);
        if (endNanos == null) {
            return Duration.ZERO;
        }
        long leftNanos = endNanos - mClock.nanoTime();
        if (leftNanos <= 0) {
            mEndNanos.remove(upstream, endNanos);
            return Duration.ZERO;
        }
        return Duration.ofNanos(leftNanos);
    }

    /**
     * Names the upstreams whose pauses are not over.
     *
     * @return their identities
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
     * Forgets upstreams.
     *
     * @param hasEnded tells which
     */
    public void forget(Predicate<Incarnation> hasEnded) {
        mEndNanos.keySet().removeIf(hasEnded);
    }

    /** Returns what was counted, for logs. */
    @Override
    public String toString() {
        return "%d answers asked for a pause, %d for one that is unreadable"
                .formatted(mAsked.get(), mUnreadable.count());
    }
}
