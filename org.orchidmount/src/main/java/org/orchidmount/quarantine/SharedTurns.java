/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.quarantine;

/**
 * Gives turns to copies of suspected requests over all instances. Of one instance, only one copy of
 * a request asks at a time. Thread-safe.
 */
public interface SharedTurns {
    /** Knows of no other instance. */
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
     * Takes the turn to run a copy of a request.
     *
     * @param request the request
     * @return false if a copy may be running at another instance
     */
    boolean tryTake(RequestFingerprint request);

    /**
     * Ends a turn that was taken.
     *
     * @param request the request
     */
    void end(RequestFingerprint request);
}
