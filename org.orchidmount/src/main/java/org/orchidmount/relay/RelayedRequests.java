/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.orchidmount.upstream.CancelSignal;

/**
 * The requests that an instance relays, so that its stop can give them up.
 *
 * <p>Invariant: after {@link #giveUp} each request is cancelled, also one that is added later.
 * Thread-safe.
 */
final class RelayedRequests {
    private final Set<CancelSignal> mSignals = ConcurrentHashMap.newKeySet();
    private volatile boolean mIsGivenUp;

    /** Adds a request; the result removes it when it is closed. */
    CancelSignal.Registration add(CancelSignal cancel) {
        mSignals.add(cancel);
        if (mIsGivenUp) {
            cancel.cancel(CancelSignal.Reason.INSTANCE_STOPPING);
        }
        return () -> mSignals.remove(cancel);
    }

    void giveUp() {
        mIsGivenUp = true;
        mSignals.forEach(signal -> signal.cancel(CancelSignal.Reason.INSTANCE_STOPPING));
    }
}
