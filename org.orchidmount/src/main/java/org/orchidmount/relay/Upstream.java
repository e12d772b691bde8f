/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import java.util.function.UnaryOperator;
import org.orchidmount.membership.Incarnation;
import org.orchidmount.membership.Registration;
import org.orchidmount.membership.Registration.State;
import org.orchidmount.routing.Slowness;
import org.orchidmount.routing.UpstreamCost;
import org.orchidmount.routing.UpstreamHealth;
import org.orchidmount.upstream.CancelSignal;

/**
 * One incarnation of an upstream as this instance sees it: one that starts again is another object,
 * so that what is known of the one before ends with it. Guarded by the lock of {@link
 * UpstreamDirectory}.
 */
final class Upstream {
    private Registration mRegistration;
    private double mPendingMillis;
    private UpstreamHealth mHealth = UpstreamHealth.UNKNOWN;
    private final CancelSignal mEnd = new CancelSignal();
    private boolean mIsReplaced;
    private int mAssignments;

    Upstream(Registration registration) {
        mRegistration = registration;
    }

    Registration registration() {
        return mRegistration;
    }

    Incarnation incarnation() {
        return mRegistration.incarnation();
    }

    /** Returns what is cancelled once a newer incarnation has taken its place; needs no lock. */
    CancelSignal end() {
        return mEnd;
    }

    boolean isReady() {
        return mRegistration.state() == State.READY;
    }

    boolean isGone() {
        return mRegistration.state() == State.GONE;
    }

    /** Notes that another upstream has its address, so that it has ended without having left. */
    void replaced() {
        mIsReplaced |= isReady();
        update(mRegistration.in(State.GONE));
    }

    boolean isReplaced() {
        return mIsReplaced;
    }

    /** Tells whether it has said that it leaves. */
    boolean isLeaving() {
        return !isReady() && !mIsReplaced;
    }

    void update(Registration registration) {
        mRegistration = mRegistration.merge(registration);
    }

    void beginWork(double workMillis) {
        mAssignments++;
        mPendingMillis += workMillis;
    }

    void endWork(double workMillis) {
        mAssignments--;
        mPendingMillis = Math.max(0, mPendingMillis - workMillis);
    }

    /** Counts the assignments that have not ended. */
    int assignments() {
        return mAssignments;
    }

    /** Returns when a piece of work would be done at ordinary speed. */
    double ordinaryMillis(double workMillis, UpstreamDirectory.Backlog backlog) {
        boolean serial = mRegistration.stage() != Registration.Stage.NONE;
        double backlogMillis = backlog.millis(mRegistration.id(), mPendingMillis);
        return UpstreamCost.ordinaryMillis(
                workMillis, backlogMillis, mRegistration.slots(), serial);
    }

    /** Returns when a piece of work is expected to be done, by what calls have shown. */
    double expectedMillis(
            double workMillis,
            UpstreamDirectory.Backlog backlog,
            double unobserved,
            long nowNanos) {
        double ordinaryMillis = ordinaryMillis(workMillis, backlog);
        return mHealth.expectedMillis(ordinaryMillis, unobserved, nowNanos);
    }

    Slowness slowness() {
        return mHealth.slowness();
    }

    boolean isEjected(long nowNanos) {
        return mHealth.backoff().isEjected(nowNanos);
    }

    /** Tells whether it is ejected or refuses work again and again. */
    boolean isAvoided(long nowNanos) {
        return isEjected(nowNanos) || mHealth.refusals().isPersistent(nowNanos);
    }

    boolean serves(String service, Registration.Stage stage) {
        return mRegistration.service().equals(service) && mRegistration.stage() == stage;
    }

    void learn(UnaryOperator<UpstreamHealth> observation) {
        mHealth = observation.apply(mHealth);
    }
}
