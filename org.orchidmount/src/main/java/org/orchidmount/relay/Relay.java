/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.TimeoutException;
import java.util.function.IntSupplier;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.internal.http.HttpConnections;
import org.orchidmount.load.EngineLoads;
import org.orchidmount.load.RunNews;
import org.orchidmount.routes.Service;
import org.orchidmount.upstream.CancelSignal;

/** Carries requests to upstreams. Thread-safe. */
public final class Relay {
    private final RelayParts mParts;

    /**
     * What all instances together may add in attempts beyond the first.
     *
     * @param ratio extra attempts for each request
     * @param window the span over which is counted
     * @param slack extra attempts beyond the ratio in each span
     */
    public record RetryLimit(double ratio, Duration window, int slack) {}

    /**
     * Creates a relay.
     *
     * @param book the upstreams
     * @param limit the limit on attempts
     * @param loads the answers that engines are making
     * @param news tells the other instances of them
     * @param entries how many instances share the limit
     * @param connections connections to upstreams
     * @param protocol what upstreams speak
     * @param clock the clock
     */
    public Relay(
            UpstreamBook book,
            RetryLimit limit,
            EngineLoads loads,
            RunNews news,
            IntSupplier entries,
            HttpConnections connections,
            UpstreamProtocol protocol,
            MonotonicClock clock) {
        mParts =
                new RelayParts(
                        book,
                        new ExtraAttempts(limit),
                        new AnswerSizes(),
                        new ReturningRequests(),
                        loads,
                        news,
                        entries,
                        connections,
                        protocol,
                        clock);
    }

    /**
     * Serves a request to its end.
     *
     * @param request the request
     * @param service the service chosen for it, one of the route's
     * @param answer the caller's side
     * @param cancel told when the caller goes
     * @throws IOException if the caller has gone
     * @throws TimeoutException if the caller reads too slowly
     * @throws InterruptedException if the thread is interrupted
     */
    public void serve(
            RelayRequest request, Service service, RelayAnswer answer, CancelSignal cancel)
            throws IOException, TimeoutException, InterruptedException {
        new RelayRun(mParts, request, service, answer, cancel).run();
    }
}
