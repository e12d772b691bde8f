/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.internal.lock.LockRank;
import org.orchidmount.internal.lock.OrderedLock;
import org.orchidmount.membership.Incarnation;
import org.orchidmount.membership.Registration;

/**
 * Suspected crashes, which are counted if another upstream turns out to have replaced the one that
 * may have crashed.
 *
 * <p>Invariants: each is confirmed at most once, and within {@link #CONFIRMATION_TIMEOUT}; one
 * whose upstream announces a planned departure is dropped. Thread-safe.
 */
final class UnconfirmedCrashes {
    /** Time by which a restarted upstream has registered: several heartbeats. */
    private static final Duration CONFIRMATION_TIMEOUT = Duration.ofSeconds(10);

    /** Maximum number of suspected crashes; the oldest are evicted. */
    private static final int CAPACITY = 1_024;

    private final OrderedLock mLock = new OrderedLock(LockRank.CRASHES);
    private final MonotonicClock mClock;
    private final List<Unconfirmed> mUnconfirmed = new ArrayList<>();

    private record Unconfirmed(
            List<CrashRecord> after, Incarnation upstream, String address, long sinceNanos) {
        boolean isExpired(long nowNanos) {
            return nowNanos - sinceNanos > CONFIRMATION_TIMEOUT.toNanos();
        }

        boolean isConfirmedBy(Registration registration) {
            Incarnation other = registration.incarnation();
            if (other.id().equals(upstream.id())) {
                return other.supersedes(upstream);
            }
            return registration.state() == Registration.State.READY
                    && registration.address().equals(address);
        }

        boolean isPlannedDeparture(Registration registration) {
            return registration.state() != Registration.State.READY
                    && registration.incarnation().equals(upstream);
        }
    }

    UnconfirmedCrashes(MonotonicClock clock) {
        mClock = clock;
    }

    /**
     * Adds a suspected crash that awaits its confirmation.
     *
     * @param after records of the suspects, including the crash
     * @param upstream incarnation of the upstream
     * @param address host and port at which it listened
     */
    void add(List<CrashRecord> after, Incarnation upstream, String address) {
        long nowNanos = mClock.nanoTime();
        try (OrderedLock.Held _ = mLock.hold()) {
            mUnconfirmed.removeIf(old -> old.isExpired(nowNanos));
            if (mUnconfirmed.size() >= CAPACITY) {
                mUnconfirmed.removeFirst();
            }
            mUnconfirmed.add(new Unconfirmed(after, upstream, address, nowNanos));
        }
    }

    /**
     * Processes a registration.
     *
     * @param registration the registration
     * @return for each crash that it confirms, the records of the suspects
     */
    List<List<CrashRecord>> takeConfirmed(Registration registration) {
        long nowNanos = mClock.nanoTime();
        List<List<CrashRecord>> confirmed = new ArrayList<>();
        try (OrderedLock.Held _ = mLock.hold()) {
            mUnconfirmed.removeIf(
                    old -> old.isExpired(nowNanos) || old.isPlannedDeparture(registration));
            Iterator<Unconfirmed> each = mUnconfirmed.iterator();
            while (each.hasNext()) {
                Unconfirmed next = each.next();
                if (next.isConfirmedBy(registration)) {
                    each.remove();
                    confirmed.add(next.after());
                }
            }
        }
        return confirmed;
    }
}
