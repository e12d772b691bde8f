/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.pacing;

import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.membership.Incarnation;
import org.orchidmount.membership.Registration;
import org.orchidmount.quota.QuotaAnswer;
import org.orchidmount.quota.QuotaAsk;
import org.orchidmount.quota.QuotaLimit;
import org.orchidmount.quota.SharedQuota;

/**
 * Keeps the requests of one instance to what upstreams state: to limits, which hold for all
 * instances together, and to pauses, of which each holds for the instance that was asked for it.
 *
 * <p>One owner counts for all ({@link SharedQuota}); while there is none, each instance keeps to an
 * equal part ({@link LonePace}). What is counted is a request that is about to be sent: first and
 * further attempts, prefills, and a reservation together with the run that it is for. Releases,
 * reports and orders are not: they take no work.
 *
 * <p>Invariants: nothing is asked for an upstream that states no limit; one that has no room is not
 * asked for again here before the time that the owner named; nothing is sent to one during its
 * pause, whatever its limit. Thread-safe.
 */
public final class UpstreamPace {
    /**
     * An upstream that takes nothing gets a request every five seconds all the same: only an answer
     * can tell that it takes some again.
     */
    private static final double LEAST_PER_SECOND = 0.2;

    /** What may come at once beyond the rate: a part of a second, and one request. */
    private static final double BURST_SECONDS = 0.25;

    /** The span over which an upstream counts what it got. */
    private static final Duration WINDOW = Duration.ofSeconds(4);

    /** There may be an owner again this soon. */
    private static final Duration ASK_AGAIN_AFTER = Duration.ofMillis(200);

    /** The part of its target that a request may wait for the owner's answer, twice at most. */
    private static final double OWNER_WAIT_SHARE = 0.06;

    /** The longest time behind other callers, since callers rarely wait for more. */
    private static final Duration LONGEST_QUEUE = Duration.ofSeconds(8);

    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final UpstreamLimits mLimits;
    private final UpstreamLimitAnnouncer mAnnouncer;
    private final SharedQuota mQuota;
    private final IntSupplier mInstances;
    private final MonotonicClock mClock;
    private final LonePace mLonePace;
    private final ReturnQueue mReturns;
    private final UpstreamPauses mPauses;

    private final Map<Incarnation, Full> mFull = new ConcurrentHashMap<>();

    private final AtomicLong mChanges = new AtomicLong();
    private final UnreadableStatements mUnreadable =
            new UnreadableStatements("a limit that is no number");
    private final AtomicLong mCounted = new AtomicLong();
    private final AtomicLong mAlone = new AtomicLong();
    private final AtomicLong mHeldBack = new AtomicLong();

    /**
     * This instance does not ask for more of an upstream.
     *
     * @param limit the limit that it has reached; once another holds, it is asked for more again
     * @param untilNanos when there may be room under that limit
     */
    private record Full(UpstreamLimit limit, long untilNanos) {}

    /**
     * Creates it.
     *
     * @param limits holds what is known
     * @param announcer passes on what this instance hears
     * @param quota reaches the owner
     * @param instances how many instances send requests now, at least 1
     * @param random spreads what instances do alone
     * @param clock the clock
     */
    public UpstreamPace(
            UpstreamLimits limits,
            UpstreamLimitAnnouncer announcer,
            SharedQuota quota,
            IntSupplier instances,
            RandomGenerator random,
            MonotonicClock clock) {
        mLimits = limits;
        mAnnouncer = announcer;
        mQuota = quota;
        mInstances = instances;
        mClock = clock;
        mLonePace = new LonePace(instances, random, clock);
        mReturns = new ReturnQueue(clock);
        mPauses = new UpstreamPauses(clock);
    }

    /**
     * Learns from a response, which must be of that incarnation and to a call of this instance.
     *
     * @param upstream the incarnation that responded
     * @param statement what it states
     * @param hasServed whether it is the answer to a request that was served. One that is not, such
     *     as an error or the answer to a reservation, may come from a part of the upstream that
     *     states no limits, so it ends none
     * @param sentNanos when its request was sent, by the clock
     */
    public void observe(
            Incarnation upstream, UpstreamStatement statement, boolean hasServed, long sentNanos) {
        observeLimit(upstream, statement.limit(), hasServed, sentNanos);
        mPauses.observe(upstream, statement.pause());
    }

    private void observeLimit(
            Incarnation upstream, LimitStatement statement, boolean hasServed, long sentNanos) {
        if (statement instanceof LimitStatement.None && !hasServed) {
            return;
        }
        if (statement instanceof LimitStatement.Unreadable unreadable) {
            mUnreadable.add(upstream.toString(), unreadable.text());
            return;
        }
        OptionalDouble stated =
                statement instanceof LimitStatement.PerSecond limit
                        ? OptionalDouble.of(limit.perSecond())
                        : OptionalDouble.empty();
        Optional<UpstreamLimit> changed = mLimits.observe(upstream, stated, sentNanos);
        if (changed.isPresent()) {
            mChanges.incrementAndGet();
            mAnnouncer.announce(changed.get());
        }
    }

    /**
     * Takes the right to send one request.
     *
     * @param upstream where it is to be sent
     * @param target the time within which the request's answer is of full use
     * @return the right, or that there is none now
     * @throws InterruptedException if the thread is interrupted
     */
    public SendPermit take(Incarnation upstream, Duration target) throws InterruptedException {
        if (mPauses.isPaused(upstream)) {
            return refused();
        }
        Optional<UpstreamLimit> limit = mLimits.find(upstream);
        if (limit.isEmpty()) {
            return SendPermit.FREE;
        }
        if (!untilRoom(upstream).isZero()) {
            return refused();
        }
        QuotaAsk ask = ask(limit.get());
        Duration longest = Duration.ofNanos((long) (OWNER_WAIT_SHARE * target.toNanos()));
        QuotaAnswer answer = mQuota.take(ask, longest);
        if (answer.isGranted()) {
            mCounted.incrementAndGet();
            return SendPermit.counted(ask);
        }
        if (answer.outcome() == QuotaAnswer.Outcome.NO_OWNER) {
            return takeAlone(limit.get());
        }
        full(limit.get(), answer.comeBackAfter());
        return refused();
    }

    private static QuotaAsk ask(UpstreamLimit limit) {
        double perSecond = rate(limit);
        QuotaLimit counted = new QuotaLimit(perSecond, 1 + BURST_SECONDS * perSecond, 0, WINDOW);
        return new QuotaAsk(QuotaKeys.ofUpstream(limit.upstream()), counted, limit.version(), 1);
    }

    private static double rate(UpstreamLimit limit) {
        return Math.max(LEAST_PER_SECOND, limit.perSecond().orElseThrow());
    }

    private SendPermit takeAlone(UpstreamLimit limit) {
        Duration wait = mLonePace.take(limit.upstream(), rate(limit));
        if (wait.isZero()) {
            mAlone.incrementAndGet();
            return SendPermit.FREE;
        }
        full(limit, wait.compareTo(ASK_AGAIN_AFTER) < 0 ? wait : ASK_AGAIN_AFTER);
        return refused();
    }

    private SendPermit refused() {
        mHeldBack.incrementAndGet();
        return SendPermit.REFUSED;
    }

    private void full(UpstreamLimit limit, Duration wait) {
        mFull.put(limit.upstream(), new Full(limit, mClock.nanoTime() + wait.toNanos()));
    }

    /**
     * Gives a right back of which no use was made.
     *
     * @param permit the right
     */
    public void giveBack(SendPermit permit) {
        permit.owed().ifPresent(ask -> mQuota.giveBack(ask, QuotaAnswer.GRANTED));
    }

    /**
     * Tells whether an upstream has asked for a pause that is not over.
     *
     * @param upstream the upstream
     * @return true if nothing is to be sent to it now
     */
    public boolean isPaused(Incarnation upstream) {
        return mPauses.isPaused(upstream);
    }

    /** Counts a call other than a request that was not made because of a pause. */
    public void heldBack() {
        mHeldBack.incrementAndGet();
    }

    /**
     * Notes that an upstream has refused a request. If it states a limit, it has no room now,
     * whatever was counted.
     *
     * @param upstream the upstream
     * @return whether that is for its limit or its pause; false if the refusal has another reason
     */
    public boolean refusedBy(Incarnation upstream) {
        Optional<UpstreamLimit> limit = mLimits.find(upstream);
        limit.ifPresent(known -> full(known, pause(rate(known))));
        return limit.isPresent() || mPauses.isPaused(upstream);
    }

    /** Returns the time between two requests at a rate. */
    private static Duration pause(double perSecond) {
        return Duration.ofNanos((long) (NANOS_PER_SECOND / perSecond));
    }

    /**
     * Tells when the first of some upstreams is no longer passed over.
     *
     * @param upstreams the upstreams, at least one
     * @return the time until then
     */
    public Duration untilAnyTakesWork(Collection<Incarnation> upstreams) {
        return upstreams.stream()
                .map(this::untilItTakesWork)
                .min(Duration::compareTo)
                .orElseThrow();
    }

    /** Returns how long this instance sends nothing to an upstream. */
    private Duration untilItTakesWork(Incarnation upstream) {
        Duration untilRoom = untilRoom(upstream);
        Duration pause = mPauses.left(upstream);
        return pause.compareTo(untilRoom) > 0 ? pause : untilRoom;
    }

    /** Returns how long this instance does not ask for more of an upstream. */
    private Duration untilRoom(Incarnation upstream) {
        Full full = mFull.get(upstream);
        if (full == null) {
            return Duration.ZERO;
        }
        long leftNanos = full.untilNanos() - mClock.nanoTime();
        if (leftNanos <= 0 || !mLimits.find(upstream).equals(Optional.of(full.limit()))) {
            mFull.remove(upstream, full);
            return Duration.ZERO;
        }
        return Duration.ofNanos(leftNanos);
    }

    /**
     * Returns what this instance may have of something that all instances share, without asking the
     * others. Where there are more instances than there is of it, all together may exceed it.
     *
     * @param ofAll what there is for all together
     * @return an equal part, at least 1
     */
    public int equalPart(int ofAll) {
        return Math.max(1, ofAll / mInstances.getAsInt());
    }

    /**
     * Names the upstreams that are to be passed over now.
     *
     * @return their identities
     */
    public Set<String> passedOver() {
        Set<String> paused = mPauses.paused();
        if (mFull.isEmpty()) {
            return paused;
        }
        Set<String> names = new HashSet<>(paused);
        for (Incarnation upstream : mFull.keySet()) {
            if (!untilRoom(upstream).isZero()) {
                names.add(upstream.id());
            }
        }
        return names;
    }

    /**
     * Tells a caller that was refused because all upstreams are passed over when the first of them
     * takes work, behind all callers that were refused here before it.
     *
     * @param service the service
     * @param upstreams the upstreams that could take the request, at least one
     * @param unlimitedPerSecond the requests a second that one without a limit is expected to take
     * @param longest how long the caller can wait
     * @return when to come back
     */
    public Duration comeBackAfter(
            String service,
            Collection<Incarnation> upstreams,
            double unlimitedPerSecond,
            Duration longest) {
        double perSecond =
                upstreams.stream()
                        .map(mLimits::find)
                        .mapToDouble(
                                limit -> limit.map(UpstreamPace::rate).orElse(unlimitedPerSecond))
                        .sum();
        Duration untilOneTakesWork = untilAnyTakesWork(upstreams);
        Duration pause = pause(perSecond / mInstances.getAsInt());
        Duration wait = mReturns.join(service, untilOneTakesWork, pause, longest);
        Duration most = untilOneTakesWork.plus(LONGEST_QUEUE);
        return wait.compareTo(most) < 0 ? wait : most;
    }

    /**
     * Takes a registration, which may end what is known of an earlier start of the upstream.
     *
     * @param registration the registration
     */
    public void registered(Registration registration) {
        Predicate<Incarnation> hasEnded = one -> UpstreamLimits.isEnded(one, registration);
        mPauses.forget(hasEnded);
        if (mLimits.isEmpty()) {
            return;
        }
        mLimits.forget(hasEnded);
        mFull.keySet().removeIf(hasEnded);
        mLonePace.forget(hasEnded);
    }

    /** Returns what was counted, for logs. */
    @Override
    public String toString() {
        return ("%d changes heard, %d statements unreadable, %d requests counted by the owner, %d"
                        + " sent without one; %s; held back %d times")
                .formatted(
                        mChanges.get(),
                        mUnreadable.count(),
                        mCounted.get(),
                        mAlone.get(),
                        mPauses,
                        mHeldBack.get());
    }
}
