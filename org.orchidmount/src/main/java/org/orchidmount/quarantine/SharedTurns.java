/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.quarantine;

/**
 * Mutual exclusion of the copies of a suspected request over all instances. Each instance requests
 * at most one turn per request at a time. Thread-safe.
 */
public interface SharedTurns {
    /** Grants every turn, for an instance without peers. */
    SharedTurns ALONE =
            new SharedTurns() {
                @Override
                public boolean tryTake(RequestFingerprint request) {
                    return true;
                }

                @Override
                public void end(RequestFingerprint request) {}
            };

    /**
     * Acquires the turn to run a copy of a request.
     *
     * @param request fingerprint of the request
     * @return false if a copy may be running on another instance
     */
    boolean tryTake(RequestFingerprint request);

    /**
     * Releases a turn that was acquired.
     *
     * @param request fingerprint of the request
     */
    void end(RequestFingerprint request);
}
