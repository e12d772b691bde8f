/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import org.orchidmount.upstream.CancelSignal;

/**
 * Cancels one call to an upstream when its request is cancelled or when the upstream restarts. The
 * previous incarnation can no longer respond, but in a network partition its connection stays open.
 *
 * <p>Invariant: neither the request nor the upstream refers to it after {@link #close}.
 * Thread-safe.
 */
final class CallCancel implements AutoCloseable {
    private final CancelSignal mSignal = new CancelSignal();
    private final CancelSignal.Registration mRequestRegistration;
    private final CancelSignal.Registration mRestartRegistration;

    /**
     * Registers with the signals of the request and of the upstream.
     *
     * @param request the cancel signal of the request
     * @param assignment the work that the call is for
     */
    CallCancel(CancelSignal request, Assignment assignment) {
        mRequestRegistration = cancelWith(request);
        mRestartRegistration = cancelWith(assignment.restartSignal());
    }

    private CancelSignal.Registration cancelWith(CancelSignal other) {
        return other.onCancel(() -> mSignal.cancel(other.reason()));
    }

    /** Returns the signal to pass to the call. */
    CancelSignal signal() {
        return mSignal;
    }

    @Override
    public void close() {
        mRequestRegistration.close();
        mRestartRegistration.close();
    }
}
