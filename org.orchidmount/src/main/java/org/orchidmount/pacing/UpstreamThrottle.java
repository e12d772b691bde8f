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
import org.orchidmount.quota.QuotaLimit;
import org.orchidmount.quota.QuotaRequest;
import org.orchidmount.quota.SharedQuota;

/**
 * Rate control of the requests that one instance sends to upstreams. It enforces the limits that
 * upstreams state, which apply to all instances together, and the pauses that they request, each of
 * which applies to the instance that received it.
 *
 * <p>One owner counts for all instances ({@link SharedQuota}); while there is none, each instance
 * keeps to an equal share ({@link LocalRateLimiter}). Each request is counted just before it is
 * sent: first and further attempts, prefills, and a reservation together with the run for which it
 * is made. Releases, reports and orders are not counted, since they cause no work.
 *
 * <p>Invariants: the owner is not asked about an upstream that states no limit; for one without
 * capacity it is not asked again by this instance before the time that it named; nothing is sent to
 * an upstream during its pause, whatever its limit. Thread-safe.
 */
public final class UpstreamThrottle {
    /**
     * Minimum rate. An upstream whose limit is zero still gets one request every five seconds,
     * since only a response can show that it accepts requests again.
     */
    private static final double MIN_PER_SECOND = 0.2;

    /** Burst beyond the rate: the requests of this part of a second, plus one request. */
    private static final double BURST_SECONDS = 0.25;

    /** Period over which an upstream counts the requests that it received. */
    private static final Duration WINDOW = Duration.ofSeconds(4);

    /** Maximum time until the owner is asked again; there may be an owner again after this time. */
    private static final Duration OWNER_RETRY_INTERVAL = Duration.ofMillis(200);

    /**
     * Share of its target that a request may wait for an answer of the owner, in each of at most
     * two attempts.
     */
    private static final double OWNER_TIMEOUT_SHARE = 0.06;

    /** Maximum retry time due to other callers, since callers rarely wait longer. */
    private static final Duration MAX_QUEUE_WAIT = Duration.ofSeconds(8);

    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final UpstreamLimits mLimits;
    private final UpstreamLimitAnnouncer mAnnouncer;
    private final SharedQuota mQuota;
    private final IntSupplier mInstances;
    private final MonotonicClock mClock;
    private final LocalRateLimiter mLocalLimiter;
    private final RetryQueue mRetryQueue;
    private final UpstreamPauses mPauses;

    private final Map<Incarnation, Exhausted> mExhausted = new ConcurrentHashMap<>();

    private final AtomicLong mChanges = new AtomicLong();
    private final UnreadableStatements mUnreadable =
            new UnreadableStatements("a rate limit that is not a number");
    private final AtomicLong mCounted = new AtomicLong();
    private final AtomicLong mSentWithoutOwner = new AtomicLong();
    private final AtomicLong mHeldBack = new AtomicLong();

    /**
     * State of an upstream of which this instance requests no more capacity.
     *
     * @param limit limit that was reached; once another limit is known, the owner is asked again
     * @param untilNanos monotonic time at which there may be capacity under that limit
     */
    private record Exhausted(UpstreamLimit limit, long untilNanos) {}

    /**
     * Creates the rate control.
     *
     * @param limits holds the known limits
     * @param announcer distributes the limits that this instance receives
     * @param quota quota that reaches the owner
     * @param instances returns the number of instances that send requests now, at least 1
     * @param random spreads the first requests of instances that have no owner
     * @param clock monotonic clock
     */
    public UpstreamThrottle(
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
        mLocalLimiter = new LocalRateLimiter(instances, random, clock);
        mRetryQueue = new RetryQueue(clock);
        mPauses = new UpstreamPauses(clock);
    }

    /**
     * Processes the statement of a response, which must come from that incarnation and belong to a
     * call of this instance.
     *
     * @param upstream incarnation that responded
     * @param statement statement of the response
     * @param hasServed whether the response belongs to a request that was served. Others, such as
     *     an error or the answer to a reservation, may come from a part of the upstream that states
     *     no limits, so they revoke none
     * @param sentNanos monotonic time at which the request was sent
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
     * Acquires the permission to send one request.
     *
     * @param upstream incarnation to which it is to be sent
     * @param target time within which the answer to the request is of full use
     * @return the permit, granted or refused
     * @throws InterruptedException if the thread is interrupted
     */
    public SendPermit acquire(Incarnation upstream, Duration target) throws InterruptedException {
        if (mPauses.isPaused(upstream)) {
            return refused();
        }
        Optional<UpstreamLimit> limit = mLimits.find(upstream);
        if (limit.isEmpty()) {
            return SendPermit.FREE;
        }
        if (!untilCapacity(upstream).isZero()) {
            return refused();
        }
        QuotaRequest request = quotaRequest(limit.get());
        Duration ownerTimeout = Duration.ofNanos((long) (OWNER_TIMEOUT_SHARE * target.toNanos()));
        QuotaAnswer answer = mQuota.acquire(request, ownerTimeout);
        if (answer.isGranted()) {
            mCounted.incrementAndGet();
            return SendPermit.counted(request);
        }
        if (answer.outcome() == QuotaAnswer.Outcome.NO_OWNER) {
            return acquireWithoutOwner(limit.get());
        }
        markExhausted(limit.get(), answer.retryAfter());
        return refused();
    }

    private static QuotaRequest quotaRequest(UpstreamLimit limit) {
        double perSecond = rate(limit);
        QuotaLimit counted = new QuotaLimit(perSecond, 1 + BURST_SECONDS * perSecond, 0, WINDOW);
        return new QuotaRequest(
                QuotaKeys.ofUpstream(limit.upstream()), counted, limit.version(), 1);
    }

    private static double rate(UpstreamLimit limit) {
        return Math.max(MIN_PER_SECOND, limit.perSecond().orElseThrow());
    }

    private SendPermit acquireWithoutOwner(UpstreamLimit limit) {
        Duration wait = mLocalLimiter.acquire(limit.upstream(), rate(limit));
        if (wait.isZero()) {
            mSentWithoutOwner.incrementAndGet();
            return SendPermit.FREE;
        }
        markExhausted(
                limit, wait.compareTo(OWNER_RETRY_INTERVAL) < 0 ? wait : OWNER_RETRY_INTERVAL);
        return refused();
    }

    private SendPermit refused() {
        mHeldBack.incrementAndGet();
        return SendPermit.REFUSED;
    }

    private void markExhausted(UpstreamLimit limit, Duration wait) {
        mExhausted.put(limit.upstream(), new Exhausted(limit, mClock.nanoTime() + wait.toNanos()));
    }

    /**
     * Returns a permit that was not used.
     *
     * @param permit the permit
     */
    public void refund(SendPermit permit) {
        permit.owed().ifPresent(request -> mQuota.refund(request, QuotaAnswer.GRANTED));
    }

    /**
     * Returns whether an upstream has requested a pause that is not over.
     *
     * @param upstream incarnation of the upstream
     * @return true if nothing is to be sent to it now
     */
    public boolean isPaused(Incarnation upstream) {
        return mPauses.isPaused(upstream);
    }

    /** Counts a call other than a request that was not made because of a pause. */
    public void countHeldBack() {
        mHeldBack.incrementAndGet();
    }

    /**
     * Records that an upstream has refused a request. If it states a limit, it has no capacity now,
     * whatever was counted.
     *
     * @param upstream incarnation of the upstream
     * @return true if its limit or its pause explains the refusal; false if the refusal has another
     *     cause
     */
    public boolean recordRefusal(Incarnation upstream) {
        Optional<UpstreamLimit> limit = mLimits.find(upstream);
        limit.ifPresent(known -> markExhausted(known, interval(rate(known))));
        return limit.isPresent() || mPauses.isPaused(upstream);
    }

    /** Returns the interval between two requests at a rate. */
    private static Duration interval(double perSecond) {
        return Duration.ofNanos((long) (NANOS_PER_SECOND / perSecond));
    }

    /**
     * Returns the time until the first of several upstreams is no longer throttled.
     *
     * @param upstreams incarnations, at least one
     * @return time until then; zero if one is available now
     */
    public Duration untilAnyAvailable(Collection<Incarnation> upstreams) {
        return upstreams.stream().map(this::untilAvailable).min(Duration::compareTo).orElseThrow();
    }

    /** Returns how long this instance sends nothing to an upstream. */
    private Duration untilAvailable(Incarnation upstream) {
        Duration untilCapacity = untilCapacity(upstream);
        Duration pause = mPauses.remaining(upstream);
        return pause.compareTo(untilCapacity) > 0 ? pause : untilCapacity;
    }

    /** Returns how long this instance requests no more capacity of an upstream. */
    private Duration untilCapacity(Incarnation upstream) {
        Exhausted exhausted = mExhausted.get(upstream);
        if (exhausted == null) {
            return Duration.ZERO;
        }
        long remainingNanos = exhausted.untilNanos() - mClock.nanoTime();
        if (remainingNanos <= 0 || !mLimits.find(upstream).equals(Optional.of(exhausted.limit()))) {
            mExhausted.remove(upstream, exhausted);
            return Duration.ZERO;
        }
        return Duration.ofNanos(remainingNanos);
    }

    /**
     * Returns the share of this instance in a resource of all instances, without communication. If
     * there are more instances than units of the resource, the sum of the shares exceeds the total.
     *
     * @param ofAll total of all instances
     * @return an equal share, at least 1
     */
    public int localShare(int ofAll) {
        return Math.max(1, ofAll / mInstances.getAsInt());
    }

    /**
     * Returns the upstreams that are throttled now, because they are paused or have reached their
     * limit.
     *
     * @return identities of the upstreams
     */
    public Set<String> throttledUpstreams() {
        Set<String> paused = mPauses.paused();
        if (mExhausted.isEmpty()) {
            return paused;
        }
        Set<String> names = new HashSet<>(paused);
        for (Incarnation upstream : mExhausted.keySet()) {
            if (!untilCapacity(upstream).isZero()) {
                names.add(upstream.id());
            }
        }
        return names;
    }

    /**
     * Returns the retry time for a caller that was refused because all upstreams are throttled: the
     * time until the first of them accepts work, after all callers that this instance refused
     * earlier.
     *
     * @param service name of the service
     * @param upstreams incarnations that could serve the request, at least one
     * @param unlimitedPerSecond requests per second expected of an upstream without a limit
     * @param longest how long the caller can wait
     * @return time after which to retry
     */
    public Duration retryAfter(
            String service,
            Collection<Incarnation> upstreams,
            double unlimitedPerSecond,
            Duration longest) {
        double perSecond =
                upstreams.stream()
                        .map(mLimits::find)
                        .mapToDouble(
                                limit ->
                                        limit.map(UpstreamThrottle::rate)
                                                .orElse(unlimitedPerSecond))
                        .sum();
        Duration untilAnyAvailable = untilAnyAvailable(upstreams);
        Duration interval = interval(perSecond / mInstances.getAsInt());
        Duration wait = mRetryQueue.join(service, untilAnyAvailable, interval, longest);
        Duration maxWait = untilAnyAvailable.plus(MAX_QUEUE_WAIT);
        return wait.compareTo(maxWait) < 0 ? wait : maxWait;
    }

    /**
     * Processes a registration, which may end an earlier incarnation of the upstream.
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
        mExhausted.keySet().removeIf(hasEnded);
        mLocalLimiter.forget(hasEnded);
    }

    /** Returns the counters, for logs. */
    @Override
    public String toString() {
        return ("%d limit changes received, %d limits unreadable, %d requests counted by the owner,"
                        + " %d sent without an owner; %s; %d calls held back")
                .formatted(
                        mChanges.get(),
                        mUnreadable.count(),
                        mCounted.get(),
                        mSentWithoutOwner.get(),
                        mPauses,
                        mHeldBack.get());
    }
}
