/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.path;

import java.time.Duration;
import java.util.List;
import org.orchidmount.internal.http.Peer;

/** The connection attempts by which paths are verified. Thread-safe. */
public interface PathNetwork {
    /** The result of a direct connection attempt. */
    enum Attempt {
        /** The connection was established. */
        CONNECTED,
        /** The connection was refused, or not established in time. */
        FAILED,
        /** No attempt was made, because the upstream accepts no more connections from here. */
        NOT_MADE
    }

    /**
     * Returns a random sample of the registered upstreams, of as many services and availability
     * zones as possible.
     *
     * @param most the maximum number
     * @return the upstreams
     */
    List<Peer> sample(int most);

    /**
     * Attempts a direct connection.
     *
     * @param upstream the upstream
     * @param timeout the longest wait
     * @param isForced whether to make the attempt even if it exceeds this instance's share of the
     *     connections that the upstream accepts
     * @return the result
     * @throws InterruptedException if the thread is interrupted
     */
    Attempt connect(Peer upstream, Duration timeout, boolean isForced) throws InterruptedException;

    /**
     * Attempts a connection through another instance.
     *
     * @param upstream the upstream
     * @return whether it was established
     */
    boolean tunnels(Peer upstream);

    /**
     * Gives up the direct connections to an upstream that only other instances reach.
     *
     * @param upstream the upstream
     * @param sinceNanos since when it has been silent, of the monotonic clock
     */
    void giveUpDirect(Peer upstream, long sinceNanos);
}
