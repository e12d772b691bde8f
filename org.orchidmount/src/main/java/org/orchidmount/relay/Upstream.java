/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import java.util.function.UnaryOperator;
import org.orchidmount.cluster.HostPort;
import org.orchidmount.internal.http.Peer;
import org.orchidmount.membership.Incarnation;
import org.orchidmount.membership.Registration;
import org.orchidmount.membership.Registration.State;
import org.orchidmount.routing.Slowness;
import org.orchidmount.routing.UpstreamCost;
import org.orchidmount.routing.UpstreamHealth;
import org.orchidmount.upstream.CancelSignal;

/**
 * One incarnation of an upstream as seen by this instance. A restarted upstream is another object,
 * so that what is known of the previous incarnation does not carry over. Guarded by the lock of
 * {@link UpstreamDirectory}.
 */
final class Upstream {
    private Registration mRegistration;
    private double mPendingMillis;
    private UpstreamHealth mHealth = UpstreamHealth.UNKNOWN;
    private final CancelSignal mRestartSignal = new CancelSignal();
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

    /**
     * Returns where it is called. The name includes the incarnation, so that connections to another
     * incarnation are never used.
     */
    Peer peer() {
        HostPort address = HostPort.parse(mRegistration.address());
        return new Peer(incarnation().toString(), address.host(), address.port());
    }

    /**
     * Returns the signal that is cancelled when a newer incarnation takes its place; needs no lock.
     */
    CancelSignal restartSignal() {
        return mRestartSignal;
    }

    boolean isReady() {
        return mRegistration.state() == State.READY;
    }

    boolean isGone() {
        return mRegistration.state() == State.GONE;
    }

    /**
     * Records that another upstream has its address, so that it has ended without announcing it.
     */
    void markReplaced() {
        mIsReplaced |= isReady();
        update(mRegistration.withState(State.GONE));
    }

    boolean isReplaced() {
        return mIsReplaced;
    }

    /** Returns whether it has announced that it is leaving. */
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

    /** Returns the number of assignments that have not ended. */
    int assignments() {
        return mAssignments;
    }

    /** Returns the time in which work would be finished at nominal speed, including the backlog. */
    double nominalMillis(double workMillis, UpstreamDirectory.Backlog backlog) {
        boolean isSerial = mRegistration.stage() != Registration.Stage.NONE;
        double backlogMillis = backlog.millis(mRegistration.id(), mPendingMillis);
        return UpstreamCost.nominalMillis(
                workMillis, backlogMillis, mRegistration.slots(), isSerial);
    }

    /**
     * Returns the time in which work is expected to be finished, given the observed health and the
     * time at nominal speed.
     */
    double expectedMillis(double nominalMillis, double unobservedSlowness, long nowNanos) {
        return mHealth.expectedMillis(nominalMillis, unobservedSlowness, nowNanos);
    }

    Slowness slowness() {
        return mHealth.slowness();
    }

    boolean isEjected(long nowNanos) {
        return mHealth.backoff().isEjected(nowNanos);
    }

    /** Returns whether it is ejected or persistently refuses work. */
    boolean isAvoided(long nowNanos) {
        return isEjected(nowNanos) || mHealth.refusals().isPersistent(nowNanos);
    }

    boolean serves(String service, Registration.Stage stage) {
        return mRegistration.service().equals(service) && mRegistration.stage() == stage;
    }

    void updateHealth(UnaryOperator<UpstreamHealth> observation) {
        mHealth = observation.apply(mHealth);
    }
}
