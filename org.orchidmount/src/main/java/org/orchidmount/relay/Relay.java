/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeoutException;
import java.util.function.IntSupplier;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.internal.http.HttpConnections;
import org.orchidmount.load.EngineLoads;
import org.orchidmount.load.SequenceAnnouncer;
import org.orchidmount.pacing.UpstreamThrottle;
import org.orchidmount.quarantine.CrashReports;
import org.orchidmount.retry.RetryBudgets;
import org.orchidmount.routes.Route;
import org.orchidmount.routes.Service;
import org.orchidmount.routing.ClientRetryDetector;
import org.orchidmount.routing.OutputLengthEstimator;
import org.orchidmount.routing.RequestDurations;
import org.orchidmount.routing.UrgentArrivals;
import org.orchidmount.stream.StreamOrigin;
import org.orchidmount.stream.StreamOrigins;
import org.orchidmount.upstream.CancelSignal;
import org.orchidmount.waiting.WaitingQueue;

/** Relays requests to upstreams that register themselves. Thread-safe. */
public final class Relay {
    /** The largest response that is read whole. */
    public static final int MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

    private final RelayContext mContext;
    private final RequestDurations mDurations = new RequestDurations();
    private final RelayedRequests mRelayed = new RelayedRequests();

    /**
     * Creates a relay.
     *
     * @param upstreams the upstreams known to this instance
     * @param retries the retries of all services
     * @param instances the number of instances
     * @param loads the sequences in flight at engines
     * @param announcer announces sequences to the other instances
     * @param crashReports the reports of requests that crash upstreams
     * @param throttle the limits and pauses that upstreams state
     * @param waiting the requests that wait for room at engines
     * @param connections connections to upstreams
     * @param protocol the protocol of the upstreams
     * @param origins the origins of streams
     * @param clock the clock
     */
    public Relay(
            UpstreamDirectory upstreams,
            RetryBudgets retries,
            IntSupplier instances,
            EngineLoads loads,
            SequenceAnnouncer announcer,
            CrashReports crashReports,
            UpstreamThrottle throttle,
            WaitingQueue waiting,
            HttpConnections connections,
            UpstreamProtocol protocol,
            StreamOrigins origins,
            MonotonicClock clock) {
        mContext =
                new RelayContext(
                        upstreams,
                        retries,
                        new ConcurrentHashMap<>(),
                        new UrgentArrivals(clock, instances),
                        new OutputLengthEstimator(),
                        new ClientRetryDetector(clock),
                        loads,
                        announcer,
                        crashReports,
                        throttle,
                        waiting,
                        connections,
                        protocol,
                        origins,
                        clock);
        loads.setEndObserver(waiting.requests()::changed);
        upstreams.setObserver(
                registration -> {
                    crashReports.registered(registration);
                    throttle.registered(registration);
                });
    }

    /**
     * Selects the service that runs a request: the one that began the stream which the request
     * continues, if the route still sends requests there, otherwise one by weight.
     *
     * @param route the route of the request
     * @param prompt the properties of its prompt
     * @param point uniformly distributed random number from 0 (inclusive) to 1 (exclusive)
     * @return the name of the service
     * @throws InterruptedException if the thread is interrupted
     */
    public String selectService(Route route, RelayRequest.Prompt prompt, double point)
            throws InterruptedException {
        if (route.destinations().size() == 1 || !prompt.isContinuation()) {
            return route.selectService(point);
        }
        Optional<StreamOrigin> origin =
                prompt.continuedRequestId().isPresent()
                        ? mContext.origins().find(prompt.continuedRequestId().get())
                        : Optional.empty();
        return origin.map(StreamOrigin::service)
                .filter(service -> isDestination(route, service))
                .orElseGet(() -> route.selectService(point));
    }

    private static boolean isDestination(Route route, String service) {
        return route.destinations().stream()
                .anyMatch(each -> each.weight() > 0 && each.service().equals(service));
    }

    /**
     * Relays a request until it is answered, refused or cut off.
     *
     * @param request the request
     * @param service the service chosen for the request, one of those of its route
     * @param caller the response to the caller
     * @param cancel the signal that is cancelled when the caller disconnects, or when the instance
     *     stops and does not wait for the request any longer, which its caller is then told
     * @param terms checked before each attempt, which is made only if they permit it
     * @return whether an upstream may have run it
     * @throws IOException if the caller has disconnected
     * @throws TimeoutException if the caller reads too slowly
     * @throws InterruptedException if the thread is interrupted
     */
    public Execution serve(
            RelayRequest request,
            Service service,
            CallerResponse caller,
            CancelSignal cancel,
            ServingTerms terms)
            throws IOException, TimeoutException, InterruptedException {
        try (CancelSignal.Registration _ = mRelayed.add(cancel)) {
            return new RequestRelay(mContext, request, service, caller, cancel, terms, mDurations)
                    .run();
        }
    }

    /**
     * Gives up all requests, because the instance stops: each is refused, or its response is cut,
     * as far as it has come. Returns at once; holds for requests that come later as well.
     */
    public void giveUp() {
        mRelayed.giveUp();
    }
}
