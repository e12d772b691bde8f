/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.stream;

import java.time.Duration;
import java.util.Optional;

/** What the instances of a site know of the origins of streams. Thread-safe. */
public interface StreamOrigins {
    /**
     * Records the origin of a stream, before its first event is sent to the caller. Returns without
     * waiting.
     *
     * @param requestId the id by which the caller knows the request that brings the first event
     * @param origin what wrote the first event
     * @param lifetime how long the caller may continue the stream
     */
    void begun(String requestId, StreamOrigin origin, Duration lifetime);

    /**
     * Returns the origin of a stream that a caller wants to continue, and asks other instances if
     * this one does not know it.
     *
     * @param requestId the id of the request that brought the first event
     * @return the origin; empty if no instance that could be asked knows it
     * @throws InterruptedException if the thread is interrupted
     */
    Optional<StreamOrigin> find(String requestId) throws InterruptedException;

    /**
     * Returns whether this instance knows all upstreams of the site, as far as it can tell.
     *
     * @return false if a registration may have been received elsewhere and not here
     */
    boolean knowsAllUpstreams();
}
