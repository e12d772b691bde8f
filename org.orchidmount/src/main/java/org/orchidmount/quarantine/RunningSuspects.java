/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.quarantine;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Suspected requests that are running on this instance, each at most once, so that simultaneous
 * copies do not crash several upstreams. Thread-safe.
 */
final class RunningSuspects {
    private final Set<RequestFingerprint> mRunning = ConcurrentHashMap.newKeySet();

    /** Marks a request as running; returns false if a copy of it is running. */
    boolean tryBegin(RequestFingerprint fingerprint) {
        return mRunning.add(fingerprint);
    }

    /** Unmarks a request that {@link #tryBegin} has marked as running. */
    void end(RequestFingerprint fingerprint) {
        mRunning.remove(fingerprint);
    }
}
