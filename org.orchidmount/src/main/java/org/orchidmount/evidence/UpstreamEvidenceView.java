/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.evidence;

import java.util.Collection;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.membership.Incarnation;

/**
 * The shared evidence as used by the decisions of an entry: what it observes is collected, and what
 * all entries have observed is asked here.
 *
 * <p>Invariant: while shared evidence is not in force, nothing is collected and every answer is the
 * neutral one, so that each decision is as without shared evidence. Thread-safe.
 */
public final class UpstreamEvidenceView {
    /**
     * Cost of a share of one, in milliseconds: the time that a request loses at an upstream that
     * does not answer.
     */
    private static final double FAILED_TRY_MILLIS = 300;

    private final EvidenceCollector mCollector;
    private final SharedEvidence mShared;
    private final BooleanSupplier mInForce;

    /**
     * Creates a view with an empty collector and store.
     *
     * @param instance name of this entry
     * @param zone availability zone of this entry
     * @param zones number of availability zones that have entries
     * @param inForce whether shared evidence is in force
     * @param clock the clock
     */
    public UpstreamEvidenceView(
            String instance,
            String zone,
            IntSupplier zones,
            BooleanSupplier inForce,
            MonotonicClock clock) {
        mCollector = new EvidenceCollector(inForce, clock);
        mShared = new SharedEvidence(instance, zone, zones, inForce, clock);
        mInForce = inForce;
    }

    /**
     * Creates a view that is never in force.
     *
     * @param clock the clock
     * @return the view
     */
    public static UpstreamEvidenceView off(MonotonicClock clock) {
        return new UpstreamEvidenceView("", "", () -> 1, () -> false, clock);
    }

    /**
     * Returns the source of the reports of this entry.
     *
     * @return the collector
     */
    public EvidenceSource source() {
        return mCollector;
    }

    /**
     * Returns the receiver of the digests for this entry.
     *
     * @return the store
     */
    public EvidenceReceiver receiver() {
        return mShared;
    }

    /**
     * Returns whether shared evidence is in force.
     *
     * @return false if decisions are made without it
     */
    public boolean isInForce() {
        return mInForce.getAsBoolean();
    }

    /**
     * Records the registered incarnation of an upstream.
     *
     * @param upstream the upstream
     */
    public void onRegistration(Incarnation upstream) {
        mShared.onRegistration(upstream);
    }

    /**
     * Records a request that an upstream has answered with success.
     *
     * @param upstream the upstream
     */
    public void succeeded(Incarnation upstream) {
        mCollector.succeeded(upstream);
        mShared.succeeded(upstream);
    }

    /**
     * Records a request that failed and that the upstream may have run.
     *
     * @param upstream the upstream
     */
    public void failed(Incarnation upstream) {
        mCollector.failed(upstream);
        mShared.failed(upstream);
    }

    /**
     * Records a call for which no connection or no response came.
     *
     * @param upstream the upstream
     */
    public void unreachable(Incarnation upstream) {
        mCollector.unreachable(upstream);
        mShared.failed(upstream);
    }

    /**
     * Records a measured piece of work.
     *
     * @param upstream the upstream
     * @param tookMillis time that the work took
     * @param nominalMillis time expected at the mean speed of the service
     */
    public void measured(Incarnation upstream, double tookMillis, double nominalMillis) {
        mCollector.measured(upstream, tookMillis, nominalMillis);
    }

    /**
     * Records that a request is sent to an upstream.
     *
     * @param upstream the upstream
     */
    public void chosen(Incarnation upstream) {
        mShared.chosen(upstream);
    }

    /**
     * Returns the upstreams that are ejected because entries agree that they fail.
     *
     * @param available the available upstreams of a service and stage; asked only if needed
     * @return the ids, at most half of the available ones
     */
    public Set<String> ejected(Supplier<? extends Collection<Incarnation>> available) {
        return mShared.mayHaveEjected() ? mShared.ejected(available.get()) : Set.of();
    }

    /**
     * Returns the slowness of an engine.
     *
     * @param id id of the engine
     * @return the factor by which it takes longer than the mean of its service; 1 if unknown
     */
    public double slowness(String id) {
        return mShared.slowness(id);
    }

    /**
     * Returns the cost of the failures of an upstream.
     *
     * @param id id of the upstream
     * @return the time that a request is expected to lose there, in milliseconds
     */
    public double failureMillis(String id) {
        return FAILED_TRY_MILLIS * mShared.failureShare(id);
    }

    /** Returns the counters, for the log. */
    @Override
    public String toString() {
        return mCollector + "; " + mShared;
    }
}
