/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.orchidmount.clock.Millis;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.cluster.HostPort;
import org.orchidmount.evidence.UpstreamEvidenceView;
import org.orchidmount.internal.http.Peer;
import org.orchidmount.internal.lock.LockRank;
import org.orchidmount.internal.lock.OrderedLock;
import org.orchidmount.internal.log.PartLog;
import org.orchidmount.membership.Incarnation;
import org.orchidmount.membership.Registration;
import org.orchidmount.membership.Registration.Stage;
import org.orchidmount.membership.Registration.State;
import org.orchidmount.membership.VersionConstraint;
import org.orchidmount.routing.UpstreamCost;
import org.orchidmount.routing.UpstreamHealth;
import org.orchidmount.upstream.CancelSignal;

/**
 * The upstreams known to this instance, the work that it has assigned to them, and their health as
 * observed in its calls. {@link UpstreamCost} and {@link UpstreamHealth} hold the rules that use
 * it.
 *
 * <p>Invariants: an upstream that is leaving gets no new work; an address belongs to the upstream
 * that registered there last; a restarted upstream begins without load or known health, and earlier
 * work stays with the previous incarnation. Thread-safe; an upstream is chosen and assigned within
 * one critical section.
 */
public final class UpstreamDirectory {
    private static final PartLog LOG = PartLog.of("upstreams");

    /**
     * Lower bound of the expected time in a ratio of speeds; shorter times say little about speed.
     */
    private static final double MIN_NOMINAL_MILLIS = 1;

    private final OrderedLock mLock = new OrderedLock(LockRank.BOARD);
    private final UpstreamIndex mUpstreams = new UpstreamIndex();
    private final UpstreamSelection mSelection;
    private final UpstreamEvidenceView mEvidence;
    private final MonotonicClock mClock;
    private final RandomGenerator mRandom;
    private volatile Consumer<Registration> mObserver = registration -> {};
    private volatile Consumer<Registration> mDepartureAnnouncer = leaving -> {};

    /**
     * Creates an empty directory.
     *
     * @param zone the availability zone of this instance
     * @param clock the clock
     * @param random the source of randomness that breaks ties
     */
    public UpstreamDirectory(String zone, MonotonicClock clock, RandomGenerator random) {
        this(zone, clock, random, UpstreamEvidenceView.off(clock));
    }

    /**
     * Creates an empty directory.
     *
     * @param zone the availability zone of this instance
     * @param clock the clock
     * @param random the source of randomness that breaks ties
     * @param evidence what all entries have observed; without effect while not in force
     */
    public UpstreamDirectory(
            String zone,
            MonotonicClock clock,
            RandomGenerator random,
            UpstreamEvidenceView evidence) {
        mClock = clock;
        mRandom = random;
        mEvidence = evidence;
        mSelection = new UpstreamSelection(mUpstreams, zone, random, evidence);
    }

    /** Returns what all entries have observed. */
    UpstreamEvidenceView evidence() {
        return mEvidence;
    }

    /**
     * Applies a registration. If it is of a new incarnation of an upstream, the calls to the
     * previous one are cancelled.
     *
     * @param registration the registration
     */
    public void update(Registration registration) {
        apply(registration)
                .ifPresent(
                        ended ->
                                ended.restartSignal()
                                        .cancel(CancelSignal.Reason.UPSTREAM_STARTED_AGAIN));
        mEvidence.onRegistration(registration.incarnation());
        mObserver.accept(registration);
    }

    /** Sets the observer that is called with each registration after it has been applied. */
    void setObserver(Consumer<Registration> observer) {
        mObserver = observer;
    }

    /**
     * Sets the announcer of upstreams that state in a response to this instance, but not yet in
     * their registrations, that they are leaving.
     *
     * @param announcer called with the registration of each, in the state {@code DRAINING}; must
     *     not block
     */
    public void announceDepartures(Consumer<Registration> announcer) {
        mDepartureAnnouncer = announcer;
    }

    /** Records that an upstream has stated in a response that it is leaving. */
    void markLeaving(Assignment assignment) {
        Registration leaving;
        try (OrderedLock.Held _ = mLock.hold()) {
            if (!assignment.upstream().isReady()) {
                return;
            }
            leaving = assignment.upstream().registration().withState(State.DRAINING);
        }
        LOG.info("upstream %s states in a response that it is leaving", assignment.incarnation());
        update(leaving);
        mDepartureAnnouncer.accept(leaving);
    }

    /**
     * Returns why a request must not be sent to the upstream that was chosen for it, which may have
     * changed during a wait. To be asked right before each send.
     *
     * @param assignment the choice
     * @return the reason, for the log; empty if the request may be sent
     */
    Optional<String> obstacle(Assignment assignment) {
        if (assignment.hasRestarted()) {
            return Optional.of("the upstream has restarted");
        }
        try (OrderedLock.Held _ = mLock.hold()) {
            Upstream upstream = assignment.upstream();
            if (!upstream.isReady()) {
                return Optional.of("the upstream is leaving since it was chosen");
            }
            return upstream.registration().stage() == assignment.registration().stage()
                    ? Optional.empty()
                    : Optional.of("the upstream has changed its stage since it was chosen");
        }
    }

    /** Returns whether an upstream has announced that it is leaving, so that its end is planned. */
    boolean isLeaving(Assignment assignment) {
        try (OrderedLock.Held _ = mLock.hold()) {
            return assignment.upstream().isLeaving();
        }
    }

    /**
     * Returns whether an upstream is known to have ended: it has restarted, or another has taken
     * its address.
     */
    boolean hasEnded(Assignment assignment) {
        if (assignment.hasRestarted()) {
            return true;
        }
        String address = assignment.peer().host() + ":" + assignment.peer().port();
        try (OrderedLock.Held _ = mLock.hold()) {
            return assignment.upstream().isReplaced()
                    || !mUpstreams.mayOwn(assignment.id(), address);
        }
    }

    private Optional<Upstream> apply(Registration registration) {
        try (OrderedLock.Held _ = mLock.hold()) {
            return mUpstreams.apply(registration);
        }
    }

    /**
     * Records that another upstream answered at the address of this one, which is therefore gone.
     */
    void misdirected(Assignment assignment) {
        try (OrderedLock.Held _ = mLock.hold()) {
            assignment.upstream().markReplaced();
            mUpstreams.releaseAddress(assignment.upstream());
        }
    }

    /**
     * Assigns work to the upstream with the lowest cost.
     *
     * @param need the requirements of the work
     * @param tried the incarnations that the request has tried; another incarnation of the same
     *     upstream is untried
     * @return the assignment; empty if no upstream of the service is available
     */
    Optional<Assignment> assign(Need need, Set<Incarnation> tried) {
        try (OrderedLock.Held _ = mLock.hold()) {
            long nowNanos = mClock.nanoTime();
            Optional<Upstream> best = mSelection.best(need, tried, nowNanos);
            if (best.isEmpty()) {
                return Optional.empty();
            }
            double nominalMillis = mSelection.nominalMillis(best.get(), need);
            best.get().beginWork(need.workMillis());
            mEvidence.chosen(best.get().incarnation());
            return Optional.of(
                    new Assignment(best.get(), need.workMillis(), nominalMillis, nowNanos));
        }
    }

    /**
     * Assigns a connection attempt to an upstream, which is counted like the connections of
     * requests.
     *
     * @param peer the upstream
     * @param maxAssignments returns the maximum number of concurrent assignments of this instance
     *     to an upstream of a service
     * @return the assignment; empty if there are as many, or the upstream is not known
     */
    Optional<Assignment> assignProbe(Peer peer, ToIntFunction<String> maxAssignments) {
        try (OrderedLock.Held _ = mLock.hold()) {
            return mUpstreams
                    .at(peer.host() + ":" + peer.port())
                    .filter(each -> each.assignments() < max(each, maxAssignments))
                    .map(each -> assign(each, 0, 0));
        }
    }

    private static int max(Upstream upstream, ToIntFunction<String> maxAssignments) {
        return maxAssignments.applyAsInt(upstream.registration().service());
    }

    private Assignment assign(Upstream upstream, double workMillis, double nominalMillis) {
        upstream.beginWork(workMillis);
        return new Assignment(upstream, workMillis, nominalMillis, mClock.nanoTime());
    }

    /** Returns a random sample of the available upstreams of all services. */
    List<Peer> sample(int most) {
        try (OrderedLock.Held _ = mLock.hold()) {
            return mUpstreams.sample(most, mRandom).stream().map(Upstream::peer).toList();
        }
    }

    /**
     * Returns whether an upstream is registered at an address.
     *
     * @param address the IP address and TCP port
     * @return true if one is
     */
    public boolean hasAddress(HostPort address) {
        try (OrderedLock.Held _ = mLock.hold()) {
            return mUpstreams.hasAddress(address.toString());
        }
    }

    /** Forgets failed calls, because they were failures of the path from here. */
    void forgetFailures() {
        try (OrderedLock.Held _ = mLock.hold()) {
            mUpstreams.all().forEach(each -> each.updateHealth(UpstreamHealth::withoutFailures));
        }
    }

    /**
     * Returns the upstreams that are available according to their registrations.
     *
     * @param service the service
     * @param stage the stage of the upstreams
     * @return their incarnations
     */
    List<Incarnation> available(String service, Stage stage) {
        return available(service, stage, VersionConstraint.ANY);
    }

    /**
     * Returns the available upstreams that may run a request.
     *
     * @param service the service
     * @param stage the stage of the upstreams
     * @param constraint the upstreams that may run the request
     * @return their incarnations
     */
    List<Incarnation> available(String service, Stage stage, VersionConstraint constraint) {
        try (OrderedLock.Held _ = mLock.hold()) {
            return mUpstreams
                    .available(service, stage)
                    .filter(upstream -> constraint.permits(upstream.registration()))
                    .map(Upstream::incarnation)
                    .toList();
        }
    }

    /**
     * Returns the only software version of a service, if all its upstreams that are known state the
     * same one, those that have left included.
     *
     * @param service the service
     * @param stage the stage of the upstreams
     * @return the version; empty if there are several, or one is not known
     */
    Optional<String> onlyVersion(String service, Stage stage) {
        try (OrderedLock.Held _ = mLock.hold()) {
            Set<Optional<String>> versions =
                    mUpstreams.ofService(service).stream()
                            .map(Upstream::registration)
                            .filter(each -> each.stage() == stage)
                            .map(Registration::version)
                            .collect(Collectors.toSet());
            return versions.size() == 1 ? versions.iterator().next() : Optional.empty();
        }
    }

    /**
     * Returns the number of requests that the upstreams of a service process concurrently.
     *
     * @param service the service
     * @param stage the stage of the upstreams
     * @return the sum over the available upstreams
     */
    int slots(String service, Stage stage) {
        try (OrderedLock.Held _ = mLock.hold()) {
            return mUpstreams
                    .available(service, stage)
                    .mapToInt(upstream -> upstream.registration().slots())
                    .sum();
        }
    }

    /**
     * Returns the number of requests that each available upstream of a service processes
     * concurrently.
     *
     * @param service the service
     * @param stage the stage of the upstreams
     * @return the slots by the id of the upstream
     */
    Map<String, Integer> slotsByUpstream(String service, Stage stage) {
        try (OrderedLock.Held _ = mLock.hold()) {
            return mUpstreams
                    .available(service, stage)
                    .map(Upstream::registration)
                    .collect(
                            Collectors.toMap(
                                    Registration::id, Registration::slots, (one, two) -> two));
        }
    }

    /**
     * Returns the upstreams of a service that do not match a predicate.
     *
     * @param service the service
     * @param stage the stage of the upstreams
     * @param predicate the predicate on the id of an upstream
     * @return the ids that do not match
     */
    Set<String> idsNotMatching(String service, Stage stage, Predicate<String> predicate) {
        try (OrderedLock.Held _ = mLock.hold()) {
            return mUpstreams.ofService(service).stream()
                    .filter(upstream -> upstream.serves(service, stage))
                    .map(upstream -> upstream.registration().id())
                    .filter(predicate.negate())
                    .collect(Collectors.toSet());
        }
    }

    /**
     * Estimates the time in which the best upstream would finish the work.
     *
     * @param need the requirements of the work
     * @return the time in milliseconds; empty if no upstream is available
     */
    OptionalDouble estimateMillis(Need need) {
        try (OrderedLock.Held _ = mLock.hold()) {
            return mSelection.estimateMillis(need, mClock.nanoTime());
        }
    }

    /** Ends assigned work, whether it succeeded or not. Further calls have no effect. */
    void release(Assignment assignment) {
        try (OrderedLock.Held _ = mLock.hold()) {
            assignment.endWork();
        }
    }

    /** Records that an upstream has succeeded in its work. */
    void succeeded(Assignment assignment) {
        responseReceived(assignment);
        confirmed(assignment);
    }

    /** Records that an upstream has succeeded, where this becomes known only after its response. */
    void confirmed(Assignment assignment) {
        updateHealth(assignment, (health, nowNanos) -> health.afterSuccess());
        mEvidence.succeeded(assignment.incarnation());
    }

    /** Records the time of a response of which it is not known yet whether it is usable. */
    void responseReceived(Assignment assignment) {
        updateHealth(assignment, (health, nowNanos) -> afterResponse(health, assignment, nowNanos));
    }

    private UpstreamHealth afterResponse(
            UpstreamHealth health, Assignment assignment, long nowNanos) {
        double tookMillis = Millis.ofNanos(nowNanos - assignment.assignedNanos());
        double nominalMillis = Math.max(MIN_NOMINAL_MILLIS, assignment.nominalMillis());
        Registration upstream = assignment.upstream().registration();
        double unobservedSlowness =
                mSelection.unobservedSlowness(upstream.service(), upstream.stage(), nowNanos);
        return health.afterResponse(tookMillis / nominalMillis, unobservedSlowness, nowNanos);
    }

    /** Records that an upstream has failed. */
    void failed(Assignment assignment) {
        updateHealth(assignment, UpstreamHealth::afterFailure);
        mEvidence.failed(assignment.incarnation());
    }

    /** Records that no connection to an upstream could be made. */
    void unreachable(Assignment assignment) {
        updateHealth(assignment, UpstreamHealth::afterUnreachable);
        mEvidence.unreachable(assignment.incarnation());
    }

    /** Records that an upstream has refused its work. */
    void refused(Assignment assignment) {
        updateHealth(assignment, UpstreamHealth::afterRefusal);
    }

    /** Records that an upstream has refused a request for which it had just reserved memory. */
    void refusedDespiteReservation(Assignment assignment) {
        updateHealth(assignment, UpstreamHealth::afterRefusalDespiteReservation);
    }

    /**
     * Returns the upstreams of a stage that are ejected or persistently refuse work of this
     * instance.
     *
     * @param service the service
     * @param stage the stage
     * @return the ids; empty if there is no other upstream, so that one of them is tried
     */
    Set<String> avoided(String service, Stage stage) {
        return avoided(service, stage, VersionConstraint.ANY);
    }

    /**
     * Returns the upstreams that may run a request, but are ejected or persistently refuse work of
     * this instance.
     *
     * @param service the service
     * @param stage the stage
     * @param constraint the upstreams that may run the request
     * @return the ids; empty if there is no other such upstream, so that one of them is tried
     */
    Set<String> avoided(String service, Stage stage, VersionConstraint constraint) {
        try (OrderedLock.Held _ = mLock.hold()) {
            return mSelection.avoided(service, stage, constraint, mClock.nanoTime());
        }
    }

    private void updateHealth(Assignment assignment, Observation observation) {
        boolean ejected;
        try (OrderedLock.Held _ = mLock.hold()) {
            long nowNanos = mClock.nanoTime();
            Upstream upstream = assignment.upstream();
            boolean wasEjected = upstream.isEjected(nowNanos);
            upstream.updateHealth(health -> observation.apply(health, nowNanos));
            ejected = upstream.isEjected(nowNanos) && !wasEjected;
        }
        if (ejected) {
            LOG.info("upstream %s is failing and is temporarily ejected", assignment.id());
        }
    }

    /** Update of the health of an upstream after a call. */
    @FunctionalInterface
    private interface Observation {
        UpstreamHealth apply(UpstreamHealth before, long nowNanos);
    }

    /**
     * Requirements of a request on an upstream.
     *
     * @param service the service
     * @param stage the required stage
     * @param workMillis the expected work in milliseconds
     * @param crossZoneMillis the extra cost of an upstream in another availability zone, in
     *     milliseconds
     * @param mayTakeTried whether an upstream that was tried may be chosen if there is no other
     * @param excluded the ids of upstreams that are never chosen
     * @param maxAssignments the maximum number of concurrent assignments of this instance to an
     *     upstream
     * @param backlog the estimator of the backlog of an upstream
     * @param constraint the upstreams that may run the request
     */
    record Need(
            String service,
            Stage stage,
            double workMillis,
            double crossZoneMillis,
            boolean mayTakeTried,
            Set<String> excluded,
            int maxAssignments,
            Backlog backlog,
            VersionConstraint constraint) {
        /** Creates the requirements of a request that any upstream may run. */
        Need(
                String service,
                Stage stage,
                double workMillis,
                double crossZoneMillis,
                boolean mayTakeTried,
                Set<String> excluded,
                int maxAssignments,
                Backlog backlog) {
            this(
                    service,
                    stage,
                    workMillis,
                    crossZoneMillis,
                    mayTakeTried,
                    excluded,
                    maxAssignments,
                    backlog,
                    VersionConstraint.ANY);
        }

        /** Value of {@code maxAssignments} that sets no limit. */
        static final int UNLIMITED = Integer.MAX_VALUE;
    }

    /** Estimates the work that an upstream has to do before it begins new work. Thread-safe. */
    @FunctionalInterface
    interface Backlog {
        /** Counts only the work that this instance has assigned. */
        Backlog OWN = (upstreamId, ownMillis) -> ownMillis;

        /**
         * Estimates the backlog of an upstream.
         *
         * @param upstreamId the id of the upstream
         * @param ownMillis the work that this instance has assigned to it, in milliseconds
         * @return the backlog in milliseconds
         */
        double millis(String upstreamId, double ownMillis);

        /**
         * Returns a cost of an upstream that does not delay the work.
         *
         * @param upstreamId the id of the upstream
         * @return the cost in milliseconds, which may be negative
         */
        default double extraCostMillis(String upstreamId) {
            return 0;
        }
    }
}
