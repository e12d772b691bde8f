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
 * Crashes that count if another upstream turns out to have taken the place of the one that may have
 * crashed.
 *
 * <p>Invariants: each is proved at most once, and within {@link #PROOF_WITHIN}; one whose upstream
 * says that it leaves by plan is dropped. Thread-safe.
 */
final class UnprovenCrashes {
    /** By then an upstream that has started again has registered: some heartbeats. */
    private static final Duration PROOF_WITHIN = Duration.ofSeconds(10);

    /** The oldest give way. */
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
     * Awaits a proof.
     *
     * @param after the record of the request that the upstream ran, its crash included
     * @param upstream the upstream
     * @param address where it listened
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
     * Takes a registration.
     *
     * @param registration the registration
     * @return the records of the crashes that it proves
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
