/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.internal.lock.LockRank;
import org.orchidmount.internal.lock.OrderedLock;
import org.orchidmount.membership.Registration;
import org.orchidmount.membership.Registration.Stage;
import org.orchidmount.membership.Registration.State;

/**
 * The blackboard of the relay: the upstreams known here, what this instance has given them to do
 * and how they have fared.
 *
 * <p>Invariant: an upstream that leaves gets no new work; an address belongs to the upstream that
 * registered there last. Thread-safe; choices and their leases are made under one hold of the lock.
 */
public final class UpstreamBook {
    private static final int FORGET_COUNT = 4_096;

    private final OrderedLock mLock = new OrderedLock(LockRank.BOARD);
    private final Map<String, Upstream> mUpstreams = new HashMap<>();
    private final Map<String, String> mIdByAddress = new HashMap<>();
    private final MonotonicClock mClock;
    private final RandomGenerator mRandom;
    private final String mZone;

    /**
     * Creates an empty book.
     *
     * @param zone the availability zone of this instance
     * @param clock the clock
     * @param random breaks ties
     */
    public UpstreamBook(String zone, MonotonicClock clock, RandomGenerator random) {
        mZone = zone;
        mClock = clock;
        mRandom = random;
    }

    /**
     * Takes a registration.
     *
     * @param registration the registration
     */
    public void apply(Registration registration) {
        try (OrderedLock.Held _ = mLock.hold()) {
            Upstream known = mUpstreams.get(registration.id());
            if (known != null) {
                known.update(registration);
                return;
            }
            if (mUpstreams.size() > FORGET_COUNT) {
                mUpstreams.values().removeIf(upstream -> !upstream.isReady());
            }
            mUpstreams.put(registration.id(), new Upstream(registration));
            mIdByAddress.put(registration.address(), registration.id());
        }
    }

    /** Notes that another upstream answered at the address of this one. */
    void misdirected(Lease lease) {
        try (OrderedLock.Held _ = mLock.hold()) {
            Upstream upstream = lease.upstream();
            upstream.update(upstream.registration().in(State.GONE));
        }
    }

    /**
     * Chooses the upstream that is expected to be done first and leases a place there.
     *
     * @param need what is needed
     * @param avoided identities that are taken only if there is no other
     * @return the lease, or nothing if no upstream of the service takes work
     */
    Optional<Lease> lease(Need need, Set<String> avoided) {
        try (OrderedLock.Held _ = mLock.hold()) {
            long nowNanos = mClock.nanoTime();
            Upstream best = null;
            double bestMillis = 0;
            for (Upstream upstream : candidates(need, avoided)) {
                double millis = expectedMillis(upstream, need, nowNanos);
                if (best == null || millis < bestMillis) {
                    best = upstream;
                    bestMillis = millis;
                }
            }
            if (best == null) {
                return Optional.empty();
            }
            double doneMillis = best.ordinaryMillis(need.workMillis(), need.queue());
            best.begin(need.workMillis());
            return Optional.of(new Lease(best, need.workMillis(), doneMillis, nowNanos));
        }
    }

    /**
     * Names the upstreams of a service that are not fit for something.
     *
     * @param service the service
     * @param stage their stage
     * @param isFit tells which are
     * @return the identities of the others
     */
    Set<String> others(String service, Stage stage, Predicate<String> isFit) {
        try (OrderedLock.Held _ = mLock.hold()) {
            return mUpstreams.values().stream()
                    .map(Upstream::registration)
                    .filter(registration -> registration.service().equals(service))
                    .filter(registration -> registration.stage() == stage)
                    .map(Registration::id)
                    .filter(isFit.negate())
                    .collect(Collectors.toSet());
        }
    }

    private List<Upstream> candidates(Need need, Set<String> avoided) {
        List<Upstream> fresh = new ArrayList<>();
        List<Upstream> tried = new ArrayList<>();
        for (Upstream upstream : mUpstreams.values()) {
            Registration registration = upstream.registration();
            boolean holdsAddress =
                    registration.id().equals(mIdByAddress.get(registration.address()));
            if (upstream.isReady()
                    && !need.excluded().contains(registration.id())
                    && holdsAddress
                    && registration.service().equals(need.service())
                    && registration.stage() == need.stage()) {
                (avoided.contains(registration.id()) ? tried : fresh).add(upstream);
            }
        }
        return fresh.isEmpty() && need.again() ? tried : fresh;
    }

    private double expectedMillis(Upstream upstream, Need need, long nowNanos) {
        boolean sameZone = upstream.registration().zone().equals(mZone);
        double spread = mRandom.nextDouble() * need.workMillis() * Upstream.TIE_SHARE;
        return upstream.expectedMillis(need.workMillis(), need.queue(), nowNanos)
                + (sameZone ? 0 : need.zonePenaltyMillis())
                + spread;
    }

    /**
     * Estimates how long a request would take at the best upstream.
     *
     * @param need what is needed
     * @return milliseconds, or nothing if no upstream takes work
     */
    Optional<Double> estimate(Need need) {
        try (OrderedLock.Held _ = mLock.hold()) {
            long nowNanos = mClock.nanoTime();
            return candidates(need, Set.of()).stream()
                    .map(
                            upstream ->
                                    upstream.expectedMillis(
                                            need.workMillis(), need.queue(), nowNanos))
                    .min(Double::compare);
        }
    }

    /** Notes that the work that was expected of a lease is done, though its answer may go on. */
    void answered(Lease lease) {
        try (OrderedLock.Held _ = mLock.hold()) {
            lease.endWork();
        }
    }

    /** Gives a lease back. */
    void release(Lease lease) {
        try (OrderedLock.Held _ = mLock.hold()) {
            lease.endWork();
            lease.endRequest();
        }
    }

    /** Notes that an upstream did what it was given. */
    void succeeded(Lease lease) {
        try (OrderedLock.Held _ = mLock.hold()) {
            long nowNanos = mClock.nanoTime();
            double tookMillis = (nowNanos - lease.sinceNanos()) / 1e6;
            lease.upstream().succeeded(tookMillis / Math.max(1, lease.doneMillis()), nowNanos);
        }
    }

    /** Notes that an upstream failed. */
    void failed(Lease lease) {
        try (OrderedLock.Held _ = mLock.hold()) {
            lease.upstream().failed(mClock.nanoTime());
        }
    }

    /** Notes that no connection to an upstream could be made. */
    void unreachable(Lease lease) {
        try (OrderedLock.Held _ = mLock.hold()) {
            lease.upstream().unreachable(mClock.nanoTime());
        }
    }

    /** Notes that an upstream was full. */
    void full(Lease lease) {
        try (OrderedLock.Held _ = mLock.hold()) {
            lease.upstream().full(mClock.nanoTime());
        }
    }

    /**
     * What a request needs of an upstream.
     *
     * @param service the service
     * @param stage the part that the upstream must play
     * @param workMillis the work expected of it
     * @param zonePenaltyMillis what another zone is counted as
     * @param again whether an avoided upstream may be taken
     * @param excluded identities that are never taken
     * @param queue what else an upstream has to do
     */
    record Need(
            String service,
            Stage stage,
            double workMillis,
            double zonePenaltyMillis,
            boolean again,
            Set<String> excluded,
            Queue queue) {}

    /** Tells what an upstream has to do before it begins with more. Thread-safe. */
    @FunctionalInterface
    interface Queue {
        /** Knows no more than this instance's own work. */
        Queue OWN = (upstreamId, ownMillis) -> ownMillis;

        /**
         * Estimates the work.
         *
         * @param upstreamId the upstream
         * @param ownMillis the work that this instance has given it
         * @return milliseconds
         */
        double millis(String upstreamId, double ownMillis);
    }
}
