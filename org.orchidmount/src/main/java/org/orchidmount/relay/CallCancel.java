/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import org.orchidmount.upstream.CancelSignal;

/**
 * Ends one call to an upstream when its request is cancelled, or when the upstream starts again:
 * the answer of the start before cannot come any more, though behind a cut its connection stays
 * open.
 *
 * <p>Invariant: neither the request nor the upstream keeps it after {@link #close}. Thread-safe.
 */
final class CallCancel implements AutoCloseable {
    private final CancelSignal mSignal = new CancelSignal();
    private final CancelSignal.Registration mOfRequest;
    private final CancelSignal.Registration mOfUpstream;

    /**
     * Watches both.
     *
     * @param request the cancel of the request
     * @param assignment the work that the call is for
     */
    CallCancel(CancelSignal request, Assignment assignment) {
        mOfRequest = follow(request);
        mOfUpstream = follow(assignment.end());
    }

    private CancelSignal.Registration follow(CancelSignal other) {
        return other.onCancel(() -> mSignal.cancel(other.reason()));
    }

    /** Returns what the call is given. */
    CancelSignal signal() {
        return mSignal;
    }

    @Override
    public void close() {
        mOfRequest.close();
        mOfUpstream.close();
    }
}
