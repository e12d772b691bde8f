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
     * @return whether it was established
     * @throws InterruptedException if the thread is interrupted
     */
    boolean connects(Peer upstream, Duration timeout) throws InterruptedException;

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
