/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.orchidmount.clock.Millis;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.internal.lock.LockRank;
import org.orchidmount.internal.lock.OrderedLock;
import org.orchidmount.internal.log.PartLog;
import org.orchidmount.membership.Incarnation;
import org.orchidmount.membership.Registration;
import org.orchidmount.membership.Registration.Stage;
import org.orchidmount.membership.Registration.State;
import org.orchidmount.routing.Slowness;
import org.orchidmount.routing.UpstreamCost;
import org.orchidmount.routing.UpstreamHealth;
import org.orchidmount.upstream.CancelSignal;

/**
 * The blackboard of the relay: the upstreams known here, the work this instance has given them, and
 * what its calls have shown of them. {@link UpstreamCost} and {@link UpstreamHealth} decide by it.
 *
 * <p>Invariants: an upstream that leaves gets no new work; an address belongs to the upstream that
 * registered there last; an upstream that starts again is another one, of which nothing is known
 * yet, and work given before stays with the one before. Thread-safe; a choice and its assignment
 * are made under one hold of the lock.
 */
public final class UpstreamDirectory {
    private static final PartLog LOG = PartLog.of("upstreams");

    /** Upstreams beyond which those that have left are forgotten; half the target's. */
    private static final int FORGET_COUNT = 4_096;

    /** An expected time below this says little about speed. */
    private static final double MIN_ORDINARY_MILLIS = 1;

    private final OrderedLock mLock = new OrderedLock(LockRank.BOARD);
    private final UpstreamIndex mUpstreams = new UpstreamIndex();
    private final Map<String, String> mIdByAddress = new HashMap<>();
    private final MonotonicClock mClock;
    private final RandomGenerator mRandom;
    private final String mZone;
    private volatile Consumer<Registration> mObserver = registration -> {};
    private volatile Consumer<Registration> mDepartureAnnouncer = leaving -> {};

    /**
     * Creates an empty directory.
     *
     * @param zone the availability zone of this instance
     * @param clock the clock
     * @param random breaks ties
     */
    public UpstreamDirectory(String zone, MonotonicClock clock, RandomGenerator random) {
        mZone = zone;
        mClock = clock;
        mRandom = random;
    }

    /**
     * Takes a registration. If it is of a new start of an upstream, the calls to the one before
     * end.
     *
     * @param registration the registration
     */
    public void update(Registration registration) {
        take(registration)
                .ifPresent(ended -> ended.end().cancel(CancelSignal.Reason.UPSTREAM_STARTED_AGAIN));
        mObserver.accept(registration);
    }

    /** Passes each registration on from now on, once it is taken. */
    void observe(Consumer<Registration> observer) {
        mObserver = observer;
    }

    /**
     * Passes on from now on what upstreams say in their answers here, and not yet in their
     * registrations: that they leave.
     *
     * @param announcer takes the registration of each, as that of one that leaves; returns at once
     */
    public void announceDepartures(Consumer<Registration> announcer) {
        mDepartureAnnouncer = announcer;
    }

    /** Notes that an upstream has said in an answer that it leaves. */
    void leaves(Assignment assignment) {
        Registration leaving;
        try (OrderedLock.Held _ = mLock.hold()) {
            if (!assignment.upstream().isReady()) {
                return;
            }
            leaving = assignment.upstream().registration().in(State.DRAINING);
        }
        LOG.info("upstream %s says in an answer that it leaves", assignment.incarnation());
        update(leaving);
        mDepartureAnnouncer.accept(leaving);
    }

    /** Tells whether an upstream has said that it leaves, so that its end is planned. */
    boolean isLeaving(Assignment assignment) {
        try (OrderedLock.Held _ = mLock.hold()) {
            return assignment.upstream().isLeaving();
        }
    }

    /**
     * Tells whether an upstream is known to have ended: it, or another, has started in its place.
     */
    boolean hasEnded(Assignment assignment) {
        if (assignment.hasStartedAgain()) {
            return true;
        }
        String address = assignment.peer().host() + ":" + assignment.peer().port();
        try (OrderedLock.Held _ = mLock.hold()) {
            String owner = mIdByAddress.getOrDefault(address, assignment.id());
            return assignment.upstream().isReplaced() || !owner.equals(assignment.id());
        }
    }

    /** Takes a registration; returns the incarnation that it ends, if any. */
    private Optional<Upstream> take(Registration registration) {
        try (OrderedLock.Held _ = mLock.hold()) {
            Upstream known = mUpstreams.get(registration.id());
            if (known == null || isNextStart(registration, known)) {
                begin(registration);
                return Optional.ofNullable(known);
            }
            Incarnation before = known.incarnation();
            mUpstreams.update(known, registration);
            if (!known.incarnation().equals(before)) {
                mIdByAddress.put(registration.address(), registration.id());
            }
            return Optional.empty();
        }
    }

    /** One that has left may be followed by an earlier start, if the registry forgot it first. */
    private static boolean isNextStart(Registration registration, Upstream known) {
        Incarnation incarnation = registration.incarnation();
        boolean isOther = !incarnation.equals(known.incarnation());
        return isOther && (incarnation.provesEndOf(known.incarnation()) || known.isGone());
    }

    private void begin(Registration registration) {
        if (mUpstreams.size() > FORGET_COUNT) {
            mUpstreams.removeIf(upstream -> !upstream.isReady());
        }
        mUpstreams.put(new Upstream(registration));
        mIdByAddress.put(registration.address(), registration.id());
    }

    /** Notes that another upstream answered at the address of this one, which is therefore gone. */
    void misdirected(Assignment assignment) {
        try (OrderedLock.Held _ = mLock.hold()) {
            assignment.upstream().replaced();
        }
    }

    /**
     * Gives work to the upstream with the least cost.
     *
     * @param need what is needed
     * @param tried those that the request has tried; another start of one of them is untried
     * @return the assignment, or nothing if no upstream of the service takes work
     */
    Optional<Assignment> assign(Need need, Set<Incarnation> tried) {
        try (OrderedLock.Held _ = mLock.hold()) {
            long nowNanos = mClock.nanoTime();
            Upstream best = null;
            double leastMillis = 0;
            double unobserved = unobserved(need.service(), need.stage(), nowNanos);
            for (Upstream upstream : candidates(need, tried)) {
                double millis = costMillis(upstream, need, unobserved, nowNanos);
                if (best == null || millis < leastMillis) {
                    best = upstream;
                    leastMillis = millis;
                }
            }
            if (best == null) {
                return Optional.empty();
            }
            double ordinaryMillis = best.ordinaryMillis(need.workMillis(), need.backlog());
            best.beginWork(need.workMillis());
            return Optional.of(new Assignment(best, need.workMillis(), ordinaryMillis, nowNanos));
        }
    }

    /**
     * Names the upstreams that could take a request now, by what they say of themselves.
     *
     * @param service the service
     * @param stage their stage
     * @return their incarnations
     */
    List<Incarnation> takingWork(String service, Stage stage) {
        try (OrderedLock.Held _ = mLock.hold()) {
            return mUpstreams.ofService(service).stream()
                    .filter(upstream -> takesWork(upstream, service, stage))
                    .map(Upstream::incarnation)
                    .toList();
        }
    }

    /**
     * Counts the requests that the upstreams of a service work on at once.
     *
     * @param service the service
     * @param stage their stage
     * @return the sum over those that take work
     */
    int slots(String service, Stage stage) {
        try (OrderedLock.Held _ = mLock.hold()) {
            return mUpstreams.ofService(service).stream()
                    .filter(upstream -> takesWork(upstream, service, stage))
                    .mapToInt(upstream -> upstream.registration().slots())
                    .sum();
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
    Set<String> unfit(String service, Stage stage, Predicate<String> isFit) {
        try (OrderedLock.Held _ = mLock.hold()) {
            return mUpstreams.ofService(service).stream()
                    .filter(upstream -> upstream.serves(service, stage))
                    .map(upstream -> upstream.registration().id())
                    .filter(isFit.negate())
                    .collect(Collectors.toSet());
        }
    }

    private List<Upstream> candidates(Need need, Set<Incarnation> tried) {
        List<Upstream> untriedOnes = new ArrayList<>();
        List<Upstream> triedOnes = new ArrayList<>();
        for (Upstream upstream : mUpstreams.ofService(need.service())) {
            if (isCandidate(upstream, need)) {
                boolean wasTried = tried.contains(upstream.incarnation());
                (wasTried ? triedOnes : untriedOnes).add(upstream);
            }
        }
        return untriedOnes.isEmpty() && need.mayTakeTried() ? triedOnes : untriedOnes;
    }

    private boolean isCandidate(Upstream upstream, Need need) {
        return takesWork(upstream, need.service(), need.stage())
                && upstream.assignments() < need.mostAtOnce()
                && !need.excluded().contains(upstream.registration().id());
    }

    /** A crashed upstream says nothing, but the one that follows it has its address. */
    private boolean takesWork(Upstream upstream, String service, Stage stage) {
        Registration registration = upstream.registration();
        return upstream.isReady()
                && upstream.serves(service, stage)
                && registration.id().equals(mIdByAddress.get(registration.address()));
    }

    /**
     * Returns the slowness of upstreams of which nothing was observed lately. What an engine needs
     * is estimated from what all engines of its service have needed, so for these it is ordinary.
     */
    private double unobserved(String service, Stage stage, long nowNanos) {
        if (stage != Stage.NONE) {
            return Slowness.ORDINARY;
        }
        return Slowness.unobserved(
                mUpstreams.ofService(service).stream()
                        .filter(upstream -> takesWork(upstream, service, stage))
                        .map(Upstream::slowness),
                nowNanos);
    }

    private double costMillis(Upstream upstream, Need need, double unobserved, long nowNanos) {
        boolean sameZone = upstream.registration().zone().equals(mZone);
        double draw = mRandom.nextDouble();
        return UpstreamCost.millis(
                upstream.expectedMillis(need.workMillis(), need.backlog(), unobserved, nowNanos),
                need.workMillis(),
                sameZone ? 0 : need.otherZoneMillis(),
                draw);
    }

    /**
     * Estimates when work would be done at the best upstream.
     *
     * @param need what is needed
     * @return milliseconds, or nothing if no upstream takes work
     */
    OptionalDouble estimateMillis(Need need) {
        try (OrderedLock.Held _ = mLock.hold()) {
            long nowNanos = mClock.nanoTime();
            double unobserved = unobserved(need.service(), need.stage(), nowNanos);
            return candidates(need, Set.of()).stream()
                    .mapToDouble(
                            upstream ->
                                    upstream.expectedMillis(
                                            need.workMillis(),
                                            need.backlog(),
                                            unobserved,
                                            nowNanos))
                    .min();
        }
    }

    /** Notes that assigned work is done or has ended. Further calls change nothing. */
    void release(Assignment assignment) {
        try (OrderedLock.Held _ = mLock.hold()) {
            assignment.endWork();
        }
    }

    /** Learns from an upstream that did what it was given. */
    void succeeded(Assignment assignment) {
        answered(assignment);
        proved(assignment);
    }

    /** Learns that an upstream did what it was given, as became known later. */
    void proved(Assignment assignment) {
        learn(assignment, (health, nowNanos) -> health.afterSuccess());
    }

    /** Learns from the time of an answer, of which it is not known yet whether it is of use. */
    void answered(Assignment assignment) {
        learn(assignment, (health, nowNanos) -> afterAnswer(health, assignment, nowNanos));
    }

    private UpstreamHealth afterAnswer(
            UpstreamHealth health, Assignment assignment, long nowNanos) {
        double tookMillis = Millis.ofNanos(nowNanos - assignment.sinceNanos());
        double ordinaryMillis = Math.max(MIN_ORDINARY_MILLIS, assignment.ordinaryMillis());
        Registration upstream = assignment.upstream().registration();
        double unobserved = unobserved(upstream.service(), upstream.stage(), nowNanos);
        return health.afterAnswer(tookMillis / ordinaryMillis, unobserved, nowNanos);
    }

    /** Learns from an upstream that failed. */
    void failed(Assignment assignment) {
        learn(assignment, UpstreamHealth::afterFailure);
    }

    /** Learns from an upstream to which no connection could be made. */
    void unreachable(Assignment assignment) {
        learn(assignment, UpstreamHealth::afterUnreachable);
    }

    /** Learns from an upstream that refused what it was given. */
    void refused(Assignment assignment) {
        learn(assignment, UpstreamHealth::afterRefusal);
    }

    /** Learns from an upstream that refused a request for which it had just reserved memory. */
    void refusedDespiteRoom(Assignment assignment) {
        learn(assignment, UpstreamHealth::afterRefusalDespiteRoom);
    }

    /**
     * Names the upstreams of a stage that are ejected, or refuse work here again and again.
     *
     * @param service the service
     * @param stage the stage
     * @return their identities; none if there is no other upstream, so that one of them is tried
     */
    Set<String> avoided(String service, Stage stage) {
        try (OrderedLock.Held _ = mLock.hold()) {
            long nowNanos = mClock.nanoTime();
            Set<String> avoided = new HashSet<>();
            boolean hasOther = false;
            for (Upstream upstream : mUpstreams.ofService(service)) {
                if (!takesWork(upstream, service, stage)) {
                    continue;
                }
                if (upstream.isAvoided(nowNanos)) {
                    avoided.add(upstream.registration().id());
                } else {
                    hasOther = true;
                }
            }
            return hasOther ? avoided : Set.of();
        }
    }

    private void learn(Assignment assignment, Observation observation) {
        boolean ejected;
        try (OrderedLock.Held _ = mLock.hold()) {
            long nowNanos = mClock.nanoTime();
            Upstream upstream = assignment.upstream();
            boolean wasEjected = upstream.isEjected(nowNanos);
            upstream.learn(health -> observation.apply(health, nowNanos));
            ejected = upstream.isEjected(nowNanos) && !wasEjected;
        }
        if (ejected) {
            LOG.info("upstream %s fails and is ejected for a while", assignment.id());
        }
    }

    /** What a call has shown of the health of its upstream. */
    @FunctionalInterface
    private interface Observation {
        UpstreamHealth apply(UpstreamHealth before, long nowNanos);
    }

    /**
     * What a request needs of an upstream.
     *
     * @param service the service
     * @param stage the stage that the upstream must have
     * @param workMillis the work expected of it
     * @param otherZoneMillis what an upstream in another availability zone is counted as
     * @param mayTakeTried whether one that was tried may be taken if there is no other
     * @param excluded identities that are never taken
     * @param mostAtOnce the assignments that an upstream may have at once from this instance
     * @param backlog what else an upstream has to do
     */
    record Need(
            String service,
            Stage stage,
            double workMillis,
            double otherZoneMillis,
            boolean mayTakeTried,
            Set<String> excluded,
            int mostAtOnce,
            Backlog backlog) {
        /** Needs an upstream that may have any number of assignments at once. */
        static final int ANY_NUMBER = Integer.MAX_VALUE;
    }

    /** Tells what an upstream has to do before it begins with more. Thread-safe. */
    @FunctionalInterface
    interface Backlog {
        /** Knows no more than this instance's own work. */
        Backlog OWN = (upstreamId, ownMillis) -> ownMillis;

        /**
         * Estimates the backlog.
         *
         * @param upstreamId the upstream
         * @param ownMillis the work that this instance has given it
         * @return milliseconds
         */
        double millis(String upstreamId, double ownMillis);
    }
}
