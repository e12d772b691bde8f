/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.controller;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.orchidmount.blackboard.Blackboard;
import org.orchidmount.blackboard.Reservation;
import org.orchidmount.blackboard.Ticket;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.limits.LocalLimits;
import org.orchidmount.limits.LocalLimits.Limit;
import org.orchidmount.routing.Decision;
import org.orchidmount.routing.DecisionInput;
import org.orchidmount.routing.Policy;
import org.orchidmount.routing.RetryAfter;
import org.orchidmount.table.AccountRow;
import org.orchidmount.table.ClassRow;
import org.orchidmount.table.ModelRow;
import org.orchidmount.table.PoolRow;
import org.orchidmount.table.Table;

/**
 * Lets requests in: refuses at once what the limits or the queue bar, queues the rest, and hands
 * out places in fair order as room appears.
 *
 * <p>Invariants: each ticket gets exactly one verdict; a refused ticket has reached no upstream; a
 * placed one holds its limits until {@link #end}. Thread-safe.
 */
public final class Admission {
    /** Pause between two rounds of the queue without an event. */
    private static final Duration TICK = Duration.ofMillis(20);

    private final Blackboard mBoard;
    private final LocalLimits mLimits;
    private final Policy mPolicy;
    private final MonotonicClock mClock;
    private final RandomGenerator mRandom;
    private final Runnable mDispatch;
    private final Timer mDecisionTimer;
    private final Meter mRefused;
    private volatile boolean mStopping;

    /**
     * Creates the controller and starts its timer.
     *
     * @param board the shared state
     * @param limits counts what runs
     * @param policy decides
     * @param clock ages waiting requests
     * @param random breaks ties; used by one worker at a time
     * @param workers run the controller
     * @param metrics takes the figures
     */
    public Admission(
            Blackboard board,
            LocalLimits limits,
            Policy policy,
            MonotonicClock clock,
            RandomGenerator random,
            WorkerPool workers,
            MetricRegistry metrics) {
        mBoard = board;
        mLimits = limits;
        mPolicy = policy;
        mClock = clock;
        mRandom = random;
        mDispatch = workers.trigger(this::dispatch);
        mDecisionTimer = metrics.timer("admission.decision");
        mRefused = metrics.meter("admission.refused");
        metrics.gauge("admission.queued", () -> board::queued);
        workers.repeat(TICK, mDispatch);
    }

    /**
     * Takes a request in; its verdict follows on the ticket.
     *
     * @param ticket the request
     */
    public void submit(Ticket ticket) {
        Decision.Refuse refuse = refuseAtOnce(ticket);
        if (refuse != null) {
            mRefused.mark();
            ticket.verdict().complete(new Ticket.Verdict.Refused(refuse));
            return;
        }
        resubmit(ticket);
    }

    /**
     * Takes a request in again after an upstream has failed it. The checks made at its arrival do
     * not count a second time, and a planned stop lets it finish.
     *
     * @param ticket the request
     */
    public void resubmit(Ticket ticket) {
        mBoard.enqueue(ticket);
        mDispatch.run();
    }

    /**
     * Withdraws a request whose caller has gone. If it was placed meanwhile, its verdict says so
     * and its owner releases what it holds.
     *
     * @param ticket the request
     */
    public void withdraw(Ticket ticket) {
        if (!mBoard.removeQueued(waiting -> waiting == ticket).isEmpty()) {
            ticket.verdict().complete(new Ticket.Verdict.Withdrawn());
        }
    }

    /**
     * Releases what a placed request held.
     *
     * @param ticket the request
     * @param reservation its reservation
     */
    public void end(Ticket ticket, Reservation reservation) {
        mBoard.release(reservation);
        mLimits.release(limits(ticket, mBoard.table()));
        mDispatch.run();
    }

    /** Tells the controller that room may have appeared. */
    public void wake() {
        mDispatch.run();
    }

    /** Refuses all new requests from now on, because this instance is stopping. */
    public void stop() {
        mStopping = true;
    }

    /**
     * Tells whether new requests are refused.
     *
     * @return true after {@link #stop}
     */
    public boolean isStopping() {
        return mStopping;
    }

    private Decision.Refuse refuseAtOnce(Ticket ticket) {
        if (mStopping) {
            return new Decision.Refuse(Decision.RefuseReason.STOPPING, RetryAfter.TABLE_MILLIS);
        }
        long retryAfterMillis = mLimits.tryAcquireRate(ticket.account(), mClock.nanoTime());
        if (retryAfterMillis > 0) {
            return new Decision.Refuse(Decision.RefuseReason.RATE_LIMIT, retryAfterMillis);
        }
        int mostQueued = ticket.requestClass().maxQueued();
        if (mostQueued > 0 && mBoard.queued(ticket.requestClass().name()) >= mostQueued) {
            return new Decision.Refuse(Decision.RefuseReason.QUEUE_FULL, RetryAfter.TABLE_MILLIS);
        }
        return null;
    }

    private void dispatch() {
        long nowNanos = mClock.nanoTime();
        List<Ticket> expired = mBoard.removeQueued(ticket -> hasWaitedTooLong(ticket, nowNanos));
        Decision.Refuse refuse =
                new Decision.Refuse(Decision.RefuseReason.WAITED_TOO_LONG, RetryAfter.TABLE_MILLIS);
        expired.forEach(ticket -> complete(ticket, new Ticket.Verdict.Refused(refuse)));
        mBoard.dispatch(this::decide)
                .forEach(decided -> complete(decided.ticket(), decided.verdict()));
    }

    private void complete(Ticket ticket, Ticket.Verdict verdict) {
        if (verdict instanceof Ticket.Verdict.Refused) {
            mRefused.mark();
        }
        ticket.verdict().complete(verdict);
    }

    private static boolean hasWaitedTooLong(Ticket ticket, long nowNanos) {
        long waitedNanos = nowNanos - ticket.info().arrivedNanos();
        return waitedNanos > TimeUnit.MILLISECONDS.toNanos(ticket.requestClass().maxWaitMillis());
    }

    /** Runs under the board's lock; the limits' lock comes after it in the order. */
    private Decision decide(Ticket ticket, DecisionInput input, Table table) {
        Decision decision;
        try (Timer.Context _ = mDecisionTimer.time()) {
            decision = mPolicy.decide(input, mRandom);
        }
        boolean placed = decision instanceof Decision.Place;
        if (placed && mLimits.tryAcquire(limits(ticket, table)).isPresent()) {
            return new Decision.Wait(Decision.WaitReason.LIMIT);
        }
        return decision;
    }

    /**
     * Lists the limits of a request. Their keys depend on the ticket alone, so the same ones are
     * released even if the table has changed since.
     */
    private static List<Limit> limits(Ticket ticket, Table table) {
        AccountRow account =
                table.row(AccountRow.class, ticket.account().name()).orElse(ticket.account());
        ClassRow requestClass =
                table.row(ClassRow.class, ticket.requestClass().name())
                        .orElse(ticket.requestClass());
        ModelRow model = ticket.model();
        int mostOfModel = table.row(ModelRow.class, model.name()).orElse(model).maxRunning();
        return List.of(
                new Limit("account " + account.name(), account.maxRunning()),
                new Limit("class " + requestClass.name(), requestClass.maxRunning()),
                new Limit("model " + model.name(), mostOfModel),
                poolLimit(table, model.prefillPool()),
                poolLimit(table, model.decodePool()));
    }

    private static Limit poolLimit(Table table, String pool) {
        int most = table.row(PoolRow.class, pool).map(PoolRow::maxRunning).orElse(0);
        return new Limit("pool " + pool, most);
    }
}
