/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import org.orchidmount.internal.http.Peer;
import org.orchidmount.membership.Incarnation;
import org.orchidmount.membership.Registration;
import org.orchidmount.upstream.CancelSignal;

/**
 * Work that this instance has assigned to an upstream. Mutable state is guarded by the lock of
 * {@link UpstreamDirectory}.
 */
final class Assignment {
    private final Upstream mUpstream;
    private final double mWorkMillis;
    private final double mNominalMillis;
    private final long mAssignedNanos;
    private final Registration mRegistration;
    private final Peer mPeer;
    private boolean mPending = true;

    Assignment(Upstream upstream, double workMillis, double nominalMillis, long assignedNanos) {
        mUpstream = upstream;
        mWorkMillis = workMillis;
        mNominalMillis = nominalMillis;
        mAssignedNanos = assignedNanos;
        mRegistration = upstream.registration();
        mPeer = upstream.peer();
    }

    Upstream upstream() {
        return mUpstream;
    }

    /** Returns the id of the upstream, which stays the same when it restarts. */
    String id() {
        return mRegistration.id();
    }

    /** Returns the incarnation of the upstream that the work was assigned to. */
    Incarnation incarnation() {
        return mRegistration.incarnation();
    }

    /** Returns the registration of the upstream at the time of the assignment. */
    Registration registration() {
        return mRegistration;
    }

    Peer peer() {
        return mPeer;
    }

    /** Returns the signal that is cancelled when the upstream restarts. */
    CancelSignal restartSignal() {
        return mUpstream.restartSignal();
    }

    /**
     * Returns whether the upstream has restarted since. The work is then lost: its reservations and
     * KV caches no longer exist, and their ids may by now belong to other requests.
     */
    boolean hasRestarted() {
        return restartSignal().isCancelled();
    }

    /**
     * Returns the time in which an upstream of nominal speed would have finished the work,
     * including its backlog.
     */
    double nominalMillis() {
        return mNominalMillis;
    }

    long assignedNanos() {
        return mAssignedNanos;
    }

    /** Removes the work from the load of the upstream. Further calls have no effect. */
    void endWork() {
        if (mPending) {
            mPending = false;
            mUpstream.endWork(mWorkMillis);
        }
    }
}
