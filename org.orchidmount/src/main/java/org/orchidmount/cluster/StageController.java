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
 * Orders engines to change their stage while its voter leads, as planned by {@link
 * EngineStagePlan}.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>the fencing token is the leader's term, so no two leaders share one;
 *   <li>a new leader waits until the lease of its predecessor must have expired;
 *   <li>one order is in progress at a time, and one that may still take effect is waited for before
 *       the next is sent;
 *   <li>an order applies to one incarnation of an engine only, and is not sent once that has
 *       restarted;
 *   <li>an engine that has asked for a pause is sent no order until the pause is over.
 * </ul>
 *
 * <p>All state is confined to the voter's thread; an order runs on its own thread, which only hands
 * over its result and what the engine's responses state.
 */
final class StageController {
    private static final PartLog LOG = PartLog.of("orders");

    /**
     * Time for which a change must be due before it is ordered, so that the restart of an engine
     * triggers none.
     */
    private static final Duration SETTLE_TIME = Duration.ofMillis(1_200);

    /**
     * Same for a change to prefill: an engine that is lost often returns within seconds, and
     * replacing it would take a second engine from decoding.
     */
    private static final Duration SETTLE_AFTER_LOSS = Duration.ofSeconds(7);

    /** Pause after the start of an order, until the engine's change shows in its heartbeats. */
    private static final Duration ORDER_COOLDOWN = Duration.ofSeconds(3);

    /**
     * Time for which an order may still take effect: more than twice the 6 s that an engine may
     * take for a change.
     */
    private static final Duration ORDER_TIMEOUT = Duration.ofSeconds(16);

    /** Margin on the predecessor's lease for clocks that run at different rates. */
    private static final Duration LEASE_MARGIN = Duration.ofMillis(700);

    /** Number of heartbeats that an engine may miss and still be counted. */
    private static final int HEARTBEATS_MISSED = 3;

    /**
     * Number of missed heartbeats after which an engine is no longer expected to return: some 12 s
     * on the users' platforms, twice the time that an engine takes to change its stage.
     */
    private static final int HEARTBEATS_UNTIL_LOST = 10;

    private final VoterConfig.StageOrderConfig mConfig;
    private final StageOrderClient mOrders;
    private final EngineStagePlan mPlan;
    private final UpstreamPauses mPauses;
    private final Consumer<Registration> mDepartures;
    private final String mHolder;
    private final AtomicBoolean mIsOrderInProgress = new AtomicBoolean();
    private final AtomicReference<OrderResult> mLastResult = new AtomicReference<>();
    private long mTerm = -1;
    private long mTermSinceNanos;
    private boolean mFenced;
    private EngineStagePlan.Change mDue;
    private long mDueSinceNanos;
    private long mCooldownUntilNanos;
    private long mOrderedNanos;
    private StageOrderClient.Order mPending;

    /**
     * Whether the engine of the last order has restarted since; shared with the thread of that
     * order.
     */
    private AtomicBoolean mHasRestarted = new AtomicBoolean();

    /** The result of an order and the time at which it was given. */
    private record OrderResult(
            StageOrderClient.Order order, StageOrderClient.Result result, long orderedNanos) {}

    /**
     * Creates a controller.
     *
     * @param config the engines' settings and the client that sends orders
     * @param holder the name under which orders are given
     * @param pauses the pauses that engines have asked this instance for
     * @param departures receives the registrations of engines that state in a response that they
     *     are leaving; called on any thread
     */
    StageController(
            VoterConfig.StageOrderConfig config,
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

    /** Returns whether an order is in progress; may be called on any thread. */
    boolean isOrderInProgress() {
        return mIsOrderInProgress.get();
    }

    /** Returns the time for which a silent upstream still counts as running. */
    Duration countedWithin() {
        return mConfig.heartbeat().multipliedBy(HEARTBEATS_MISSED);
    }

    /** Returns the time for which a silent upstream is still expected to return. */
    Duration expectedWithin() {
        return mConfig.heartbeat().multipliedBy(HEARTBEATS_UNTIL_LOST);
    }

    /**
     * Processes the result of the last order and gives the next one if it is due; called
     * periodically.
     *
     * @param term the voter's term, or -1 if it does not lead a quorum
     * @param current the upstreams with recent heartbeats
     * @param silent the upstreams that have recently become silent and are expected to return
     * @param stillHeld returns, on any thread, whether the voter still leads in that term
     * @param nowNanos the monotonic time
     */
    void tick(
            long term,
            List<Registration> current,
            List<Registration> silent,
            BooleanSupplier stillHeld,
            long nowNanos) {
        updateTerm(term, nowNanos);
        dropOrderOfEarlierIncarnation(current);
        if (mIsOrderInProgress.get()) {
            return;
        }
        Optional.ofNullable(mLastResult.getAndSet(null)).ifPresent(this::applyResult);
        boolean isCoolingDown = nowNanos - mCooldownUntilNanos < 0;
        if (!mayGiveOrders(nowNanos) || mFenced || isCoolingDown) {
            return;
        }
        if (mPending != null
                && mayStillTakeEffect(nowNanos)
                && current.stream().noneMatch(this::hasTakenEffect)) {
            return;
        }
        mPending = null;
        Optional<EngineStagePlan.Change> change = mPlan.next(current, silent);
        if (change.isEmpty()) {
            mDue = null;
        } else if (isSettled(change.get(), nowNanos) && !isPaused(change.get())) {
            startOrder(change.get(), stillHeld, nowNanos);
        }
    }

    private void updateTerm(long term, long nowNanos) {
        if (term != mTerm) {
            mTerm = term;
            mTermSinceNanos = nowNanos;
            mFenced = false;
            mDue = null;
            mPending = null;
        }
    }

    /**
     * Drops the pending order if its engine has restarted, since the new incarnation does not know
     * of it. The pause after the order still applies: an unanswered order may yet reach the new
     * incarnation, which would accept it as its own.
     */
    private void dropOrderOfEarlierIncarnation(List<Registration> current) {
        if (mPending == null) {
            return;
        }
        Incarnation ordered = mPending.engine().incarnation();
        Optional<Incarnation> next =
                current.stream()
                        .map(Registration::incarnation)
                        .filter(incarnation -> incarnation.supersedes(ordered))
                        .findAny();
        if (next.isPresent()) {
            LOG.info("engine %s has restarted as %s; its order is dropped", ordered, next.get());
            mHasRestarted.set(true);
            mPending = null;
        }
    }

    /** Returns whether the leases of all previous leaders must have expired. */
    private boolean mayGiveOrders(long nowNanos) {
        Duration wait = mConfig.lease().plus(LEASE_MARGIN);
        return mTerm >= 0 && nowNanos - mTermSinceNanos > wait.toNanos();
    }

    private boolean mayStillTakeEffect(long nowNanos) {
        return nowNanos - mOrderedNanos < ORDER_TIMEOUT.toNanos();
    }

    /** Returns whether a registration shows that the pending order took effect. */
    private boolean hasTakenEffect(Registration registration) {
        return registration.id().equals(mPending.engine().id())
                && registration.stage() == mPending.stage();
    }

    /** Returns whether a change to the same stage has been due for long enough. */
    private boolean isSettled(EngineStagePlan.Change change, long nowNanos) {
        if (mDue == null || mDue.stage() != change.stage()) {
            mDue = change;
            mDueSinceNanos = nowNanos;
        }
        boolean toPrefill = change.stage() == Registration.Stage.PREFILL;
        Duration settle = toPrefill ? SETTLE_AFTER_LOSS : SETTLE_TIME;
        return nowNanos - mDueSinceNanos > settle.toNanos();
    }

    private boolean isPaused(EngineStagePlan.Change change) {
        return mPauses.isPaused(change.engine().incarnation());
    }

    private void startOrder(
            EngineStagePlan.Change change, BooleanSupplier stillHeld, long nowNanos) {
        StageOrderClient.Order order =
                new StageOrderClient.Order(change.engine(), change.stage(), mHolder, mTerm);
        mPending = order;
        mOrderedNanos = nowNanos;
        mDue = null;
        mIsOrderInProgress.set(true);
        AtomicBoolean hasRestarted = new AtomicBoolean();
        mHasRestarted = hasRestarted;
        BooleanSupplier maySend = () -> !hasRestarted.get() && stillHeld.getAsBoolean();
        LOG.info(
                "ordering engine %s at %s to change to stage %s, fencing token %d",
                order.engine().id(), order.engine().address(), order.stage(), order.fencingToken());
        Thread.ofVirtual().name("order").start(() -> sendOrder(order, maySend, nowNanos));
    }

    /** Sends an order and records its result; runs on the order's own thread. */
    private void sendOrder(
            StageOrderClient.Order order, BooleanSupplier stillHeld, long orderedNanos) {
        StageOrderClient.Result result = StageOrderClient.Result.UNKNOWN;
        try {
            result =
                    mOrders.changeStage(
                            order, stillHeld, stated -> observe(order.engine(), stated));
        } finally {
            LOG.info("engine %s: result of the order is %s", order.engine().id(), result);
            mLastResult.set(new OrderResult(order, result, orderedNanos));
            // Must come last: once this is false, the voter's thread reads the result.
            mIsOrderInProgress.set(false);
        }
    }

    private void observe(Registration engine, UpstreamStatement stated) {
        mPauses.observe(engine.incarnation(), stated.pause());
        if (stated.isLeaving()) {
            mDepartures.accept(engine.withState(Registration.State.DRAINING));
        }
    }

    private void applyResult(OrderResult ended) {
        switch (ended.result()) {
            case TAKEN -> mCooldownUntilNanos = ended.orderedNanos() + ORDER_COOLDOWN.toNanos();
            case REFUSED -> {
                mPending = null;
                mCooldownUntilNanos = ended.orderedNanos() + ORDER_COOLDOWN.toNanos();
            }
            case FENCED -> mFenced = ended.order().fencingToken() == mTerm;
            case UNKNOWN -> mCooldownUntilNanos = ended.orderedNanos() + ORDER_TIMEOUT.toNanos();
            default -> throw new IllegalStateException("unexpected order result " + ended.result());
        }
    }
}
