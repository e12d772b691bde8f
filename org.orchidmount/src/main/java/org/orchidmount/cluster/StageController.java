/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.orchidmount.internal.log.PartLog;
import org.orchidmount.membership.Incarnation;
import org.orchidmount.membership.Registration;
import org.orchidmount.pacing.UpstreamPauses;
import org.orchidmount.pacing.UpstreamStatement;
import org.orchidmount.routing.EngineStagePlan;

/**
 * Gives orders to engines while its voter leads, by {@link EngineStagePlan}.
 *
 * <p>Invariants: the fencing token is the leader's term, so no two holders share one; a leader
 * waits until the lease of the one before must be out; one order is under way at a time, and one
 * that may yet be done is waited for before the next; an order ends with the start of the engine
 * that it was meant for, and is not sent after that; an engine that has asked for a pause is given
 * none until that is over. All state belongs to the voter's thread; an order runs on a thread of
 * its own, which only hands over how it ended and what the engine's answers state.
 */
final class StageController {
    private static final PartLog LOG = PartLog.of("orders");

    /** How long a change must be due, so that a restart of an engine orders none. */
    private static final Duration SETTLE = Duration.ofMillis(1_200);

    /**
     * The same for a change to prefill: an engine that is lost is often back within seconds, and
     * its change would take a second engine from the output.
     */
    private static final Duration SETTLE_AFTER_LOSS = Duration.ofSeconds(7);

    /** Pause after an order, from its start: an engine's change shows in its heartbeats. */
    private static final Duration REST = Duration.ofSeconds(3);

    /** How long an order may yet be done: the engines' 6 s for a change, twice and more. */
    private static final Duration WAIT_FOR_DONE = Duration.ofSeconds(16);

    /** Added to the lease of the leader before, for clocks that run at different rates. */
    private static final Duration LEASE_MARGIN = Duration.ofMillis(700);

    /** Heartbeats that an engine may miss and still count. */
    private static final int HEARTBEATS_MISSED = 3;

    /**
     * Heartbeats after which an engine that fell silent is no longer expected back: on the users'
     * platforms some 12 s, twice what an engine takes to change its stage.
     */
    private static final int HEARTBEATS_UNTIL_LOST = 10;

    private final VoterConfig.Stages mConfig;
    private final StageOrders mOrders;
    private final EngineStagePlan mPlan;
    private final UpstreamPauses mPauses;
    private final Consumer<Registration> mDepartures;
    private final String mHolder;
    private final AtomicBoolean mCalling = new AtomicBoolean();
    private final AtomicReference<Ended> mEnded = new AtomicReference<>();
    private long mTerm = -1;
    private long mTermSinceNanos;
    private boolean mFenced;
    private EngineStagePlan.Change mDue;
    private long mDueSinceNanos;
    private long mRestUntilNanos;
    private long mGivenNanos;
    private StageOrders.Order mPending;

    /** True once the engine of the order that was given last has started again. */
    private AtomicBoolean mStartedAgain = new AtomicBoolean();

    /** How an order ended, and when it was given. */
    private record Ended(StageOrders.Order order, StageOrders.Result result, long givenNanos) {}

    /**
     * Creates it.
     *
     * @param config the engines, and how they are ordered
     * @param holder the name that orders are given under
     * @param pauses the pauses that engines ask this instance for
     * @param departures takes the registrations of engines that say in an answer that they leave,
     *     from any thread
     */
    StageController(
            VoterConfig.Stages config,
            String holder,
            UpstreamPauses pauses,
            Consumer<Registration> departures) {
        mConfig = config;
        mPauses = pauses;
        mDepartures = departures;
        mOrders = config.orders();
        mPlan = new EngineStagePlan(config.prefillShare());
        mHolder = holder;
    }

    /** Tells whether an order is under way. */
    boolean isCalling() {
        return mCalling.get();
    }

    /** Returns how long an upstream may be silent and still be counted. */
    Duration countedWithin() {
        return mConfig.heartbeat().multipliedBy(HEARTBEATS_MISSED);
    }

    /** Returns how long an upstream may be silent and still be expected back. */
    Duration expectedWithin() {
        return mConfig.heartbeat().multipliedBy(HEARTBEATS_UNTIL_LOST);
    }

    /**
     * Lets time pass.
     *
     * @param term the voter's term, or -1 if it does not lead a quorum
     * @param current the upstreams whose heartbeats are recent
     * @param silent those that have lately stopped to send any and are expected back
     * @param stillHeld tells, from any thread, whether the voter still leads that term
     * @param nowNanos the monotonic time
     */
    void tick(
            long term,
            List<Registration> current,
            List<Registration> silent,
            BooleanSupplier stillHeld,
            long nowNanos) {
        follow(term, nowNanos);
        dropOfEarlierStart(current);
        if (mCalling.get()) {
            return;
        }
        Optional.ofNullable(mEnded.getAndSet(null)).ifPresent(this::settle);
        boolean resting = nowNanos - mRestUntilNanos < 0;
        if (!holds(nowNanos) || mFenced || resting) {
            return;
        }
        if (mPending != null
                && mayYetBeDone(nowNanos)
                && current.stream().noneMatch(this::isDone)) {
            return;
        }
        mPending = null;
        Optional<EngineStagePlan.Change> change = mPlan.next(current, silent);
        if (change.isEmpty()) {
            mDue = null;
        } else if (isSettled(change.get(), nowNanos) && !isPaused(change.get())) {
            give(change.get(), stillHeld, nowNanos);
        }
    }

    private void follow(long term, long nowNanos) {
        if (term != mTerm) {
            mTerm = term;
            mTermSinceNanos = nowNanos;
            mFenced = false;
            mDue = null;
            mPending = null;
        }
    }

    /**
     * Drops the order whose engine has started again: it knows of none. The pause after an order
     * stays, since one without an answer may yet reach the new start, which takes it for its own.
     */
    private void dropOfEarlierStart(List<Registration> current) {
        if (mPending == null) {
            return;
        }
        Incarnation ordered = mPending.engine().incarnation();
        Optional<Incarnation> next =
                current.stream()
                        .map(Registration::incarnation)
                        .filter(incarnation -> incarnation.provesEndOf(ordered))
                        .findAny();
        if (next.isPresent()) {
            LOG.info("engine %s has started again as %s; its order ends", ordered, next.get());
            mStartedAgain.set(true);
            mPending = null;
        }
    }

    /** Tells whether the lease of every leader before must be out. */
    private boolean holds(long nowNanos) {
        Duration wait = mConfig.lease().plus(LEASE_MARGIN);
        return mTerm >= 0 && nowNanos - mTermSinceNanos > wait.toNanos();
    }

    private boolean mayYetBeDone(long nowNanos) {
        return nowNanos - mGivenNanos < WAIT_FOR_DONE.toNanos();
    }

    /** Tells whether the engine that was ordered has its new stage. */
    private boolean isDone(Registration registration) {
        return registration.id().equals(mPending.engine().id())
                && registration.stage() == mPending.stage();
    }

    /** Tells whether a change to the same stage has been due for long enough. */
    private boolean isSettled(EngineStagePlan.Change change, long nowNanos) {
        if (mDue == null || mDue.stage() != change.stage()) {
            mDue = change;
            mDueSinceNanos = nowNanos;
        }
        boolean toPrefill = change.stage() == Registration.Stage.PREFILL;
        Duration settle = toPrefill ? SETTLE_AFTER_LOSS : SETTLE;
        return nowNanos - mDueSinceNanos > settle.toNanos();
    }

    private boolean isPaused(EngineStagePlan.Change change) {
        return mPauses.isPaused(change.engine().incarnation());
    }

    private void give(EngineStagePlan.Change change, BooleanSupplier stillHeld, long nowNanos) {
        StageOrders.Order order =
                new StageOrders.Order(change.engine(), change.stage(), mHolder, mTerm);
        mPending = order;
        mGivenNanos = nowNanos;
        mDue = null;
        mCalling.set(true);
        AtomicBoolean startedAgain = new AtomicBoolean();
        mStartedAgain = startedAgain;
        BooleanSupplier maySend = () -> !startedAgain.get() && stillHeld.getAsBoolean();
        LOG.info(
                "engine %s at %s is to be %s, fence %d",
                order.engine().id(), order.engine().address(), order.stage(), order.fence());
        Thread.ofVirtual().name("order").start(() -> call(order, maySend, nowNanos));
    }

    /** Runs on a thread of its own. */
    private void call(StageOrders.Order order, BooleanSupplier stillHeld, long givenNanos) {
        StageOrders.Result result = StageOrders.Result.UNKNOWN;
        try {
            result =
                    mOrders.changeStage(
                            order, stillHeld, stated -> observe(order.engine(), stated));
        } finally {
            LOG.info("engine %s: order %s", order.engine().id(), result);
            mEnded.set(new Ended(order, result, givenNanos));
            // Last: the voter's thread reads how the order ended once this is false.
            mCalling.set(false);
        }
    }

    private void observe(Registration engine, UpstreamStatement stated) {
        mPauses.observe(engine.incarnation(), stated.pause());
        if (stated.isLeaving()) {
            mDepartures.accept(engine.in(Registration.State.DRAINING));
        }
    }

    private void settle(Ended ended) {
        switch (ended.result()) {
            case TAKEN -> mRestUntilNanos = ended.givenNanos() + REST.toNanos();
            case REFUSED -> {
                mPending = null;
                mRestUntilNanos = ended.givenNanos() + REST.toNanos();
            }
            case FENCED -> mFenced = ended.order().fence() == mTerm;
            case UNKNOWN -> mRestUntilNanos = ended.givenNanos() + WAIT_FOR_DONE.toNanos();
            default -> throw new IllegalStateException("unknown result " + ended.result());
        }
    }
}
