/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.quarantine;

/**
 * Mutual exclusion of the copies of a suspected request over all instances. Each instance requests
 * at most one run lock per request at a time. Thread-safe.
 */
public interface RunLock {
    /** Grants every run lock, for an instance without peers. */
    RunLock UNCOORDINATED =
            new RunLock() {
                @Override
                public boolean tryAcquire(RequestFingerprint request) {
                    return true;
                }

                @Override
                public void release(RequestFingerprint request) {}
            };

    /**
     * Acquires the lock to run a copy of a request.
     *
     * @param request fingerprint of the request
     * @return false if a copy may be running on another instance
     */
    boolean tryAcquire(RequestFingerprint request);

    /**
     * Releases a lock that was acquired.
     *
     * @param request fingerprint of the request
     */
    void release(RequestFingerprint request);
}
