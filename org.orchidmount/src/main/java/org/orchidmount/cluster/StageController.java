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
import java.util.function.BooleanSupplier;
import org.orchidmount.internal.log.PartLog;
import org.orchidmount.membership.Registration;
import org.orchidmount.routing.EngineStagePlan;

/**
 * Gives orders to engines while its voter leads.
 *
 * <p>Invariants: the fencing token is the leader's term, so no two holders share one; a leader
 * waits until the lease of the one before must be out; one order is under way at a time, and one
 * that may yet be done is waited for before the next. Confined to the voter's thread, but for the
 * order itself, which runs on a thread of its own.
 */
final class StageController {
    private static final PartLog LOG = PartLog.of("orders");
    private static final Duration SETTLE = Duration.ofMillis(1_200);
    private static final Duration SETTLE_AFTER_LOSS = Duration.ofSeconds(7);
    private static final Duration REST = Duration.ofSeconds(3);
    private static final Duration WAIT_FOR_DONE = Duration.ofSeconds(16);
    private static final Duration MARGIN = Duration.ofMillis(700);

    private final VoterConfig.Stages mConfig;
    private final StageOrders mOrders;
    private final EngineStagePlan mPlan;
    private final String mHolder;
    private long mTerm = -1;
    private long mTermSinceNanos;
    private boolean mFenced;
    private EngineStagePlan.Change mDue;
    private long mDueSinceNanos;
    private long mRestUntilNanos;
    private long mGivenNanos;
    private StageOrders.Order mPending;
    private final AtomicBoolean mCalling = new AtomicBoolean();

    StageController(VoterConfig.Stages config, String holder) {
        mConfig = config;
        mOrders = config.orders();
        mPlan = new EngineStagePlan(config.prefillShare());
        mHolder = holder;
    }

    /** Tells whether an order is under way. */
    boolean isCalling() {
        return mCalling.get();
    }

    /** How long an upstream may be silent and still be counted. */
    Duration heardWithin() {
        return mConfig.heartbeat().multipliedBy(3);
    }

    /**
     * Lets time pass.
     *
     * @param term the voter's term, or -1 if it does not lead a quorum
     * @param heard the upstreams that were heard of lately
     * @param stillHeld tells, from any thread, whether the voter still leads that term
     * @param nowNanos the monotonic time
     */
    void tick(long term, List<Registration> heard, BooleanSupplier stillHeld, long nowNanos) {
        if (term != mTerm) {
            mTerm = term;
            mTermSinceNanos = nowNanos;
            mFenced = false;
            mDue = null;
            mPending = null;
        }
        Duration wait = mConfig.lease().plus(MARGIN);
        boolean holds = term >= 0 && nowNanos - mTermSinceNanos > wait.toNanos();
        if (!holds || mFenced || mCalling.get() || nowNanos - mRestUntilNanos < 0) {
            return;
        }
        boolean waits = nowNanos - mGivenNanos < WAIT_FOR_DONE.toNanos();
        if (mPending != null && waits && heard.stream().noneMatch(this::isDone)) {
            return;
        }
        mPending = null;
        Optional<EngineStagePlan.Change> change = mPlan.next(heard);
        if (change.isEmpty()) {
            mDue = null;
            return;
        }
        if (mDue == null || mDue.stage() != change.get().stage()) {
            mDue = change.get();
            mDueSinceNanos = nowNanos;
        }
        boolean toPrefill = mDue.stage() == Registration.Stage.PREFILL;
        Duration settle = toPrefill ? SETTLE_AFTER_LOSS : SETTLE;
        if (nowNanos - mDueSinceNanos > settle.toNanos()) {
            give(change.get(), stillHeld, nowNanos);
        }
    }

    /** Tells whether the engine that was ordered has its new stage. */
    private boolean isDone(Registration registration) {
        return registration.id().equals(mPending.engine().id())
                && registration.stage() == mPending.stage();
    }

    private void give(EngineStagePlan.Change change, BooleanSupplier stillHeld, long nowNanos) {
        StageOrders.Order order =
                new StageOrders.Order(change.engine(), change.stage(), mHolder, mTerm);
        mPending = order;
        mGivenNanos = nowNanos;
        mDue = null;
        mCalling.set(true);
        LOG.info(
                "engine %s at %s is to be %s, fence %d",
                order.engine().id(), order.engine().address(), order.stage(), order.fence());
        Thread.ofVirtual()
                .name("order")
                .start(
                        () -> {
                            StageOrders.Result result = StageOrders.Result.UNKNOWN;
                            try {
                                result = mOrders.changeStage(order, stillHeld);
                            } finally {
                                LOG.info("engine %s: order %s", order.engine().id(), result);
                                ended(result, nowNanos);
                            }
                        });
    }

    private void ended(StageOrders.Result result, long begunNanos) {
        switch (result) {
            case TAKEN -> mRestUntilNanos = begunNanos + REST.toNanos();
            case REFUSED -> {
                mPending = null;
                mRestUntilNanos = begunNanos + REST.toNanos();
            }
            case FENCED -> mFenced = true;
            case UNKNOWN -> mRestUntilNanos = begunNanos + WAIT_FOR_DONE.toNanos();
            default -> throw new IllegalStateException("unknown result " + result);
        }
        mCalling.set(false);
    }
}
