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
 * <p>Invariants: each is confirmed at most once, and within {@link #PROOF_WITHIN}; one whose
 * upstream announces a planned departure is dropped. Thread-safe.
 */
final class UnprovenCrashes {
    /** Time by which a restarted upstream has registered: several heartbeats. */
    private static final Duration PROOF_WITHIN = Duration.ofSeconds(10);

    /** Maximum number of suspected crashes; the oldest are evicted. */
    private static final int CAPACITY = 1_024;

    private final OrderedLock mLock = new OrderedLock(LockRank.CRASHES);
    private final MonotonicClock mClock;
    private final List<Unproven> mUnproven = new ArrayList<>();

    private record Unproven(
            CrashRecord after, Incarnation upstream, String address, long sinceNanos) {
        boolean isOld(long nowNanos) {
            return nowNanos - sinceNanos > PROOF_WITHIN.toNanos();
        }

        boolean isProvedBy(Registration registration) {
            Incarnation other = registration.incarnation();
            if (other.id().equals(upstream.id())) {
                return other.provesEndOf(upstream);
            }
            return registration.state() == Registration.State.READY
                    && registration.address().equals(address);
        }

        boolean isEndedByPlan(Registration registration) {
            return registration.state() != Registration.State.READY
                    && registration.incarnation().equals(upstream);
        }
    }

    UnprovenCrashes(MonotonicClock clock) {
        mClock = clock;
    }

    /**
     * Adds a suspected crash that awaits its confirmation.
     *
     * @param after record of the request that the upstream was running, including the crash
     * @param upstream incarnation of the upstream
     * @param address host and port at which it listened
     */
    void add(CrashRecord after, Incarnation upstream, String address) {
        long nowNanos = mClock.nanoTime();
        try (OrderedLock.Held _ = mLock.hold()) {
            mUnproven.removeIf(old -> old.isOld(nowNanos));
            if (mUnproven.size() >= CAPACITY) {
                mUnproven.removeFirst();
            }
            mUnproven.add(new Unproven(after, upstream, address, nowNanos));
        }
    }

    /**
     * Processes a registration.
     *
     * @param registration the registration
     * @return records of the crashes that it confirms
     */
    List<CrashRecord> takeProved(Registration registration) {
        long nowNanos = mClock.nanoTime();
        List<CrashRecord> proved = new ArrayList<>();
        try (OrderedLock.Held _ = mLock.hold()) {
            mUnproven.removeIf(old -> old.isOld(nowNanos) || old.isEndedByPlan(registration));
            Iterator<Unproven> each = mUnproven.iterator();
            while (each.hasNext()) {
                Unproven next = each.next();
                if (next.isProvedBy(registration)) {
                    each.remove();
                    proved.add(next.after());
                }
            }
        }
        return proved;
    }
}
