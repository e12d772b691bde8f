/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routes;

import java.time.Duration;
import java.util.List;
import org.orchidmount.routing.AttemptRule;

/**
 * A routing rule for the requests to one host below one path prefix. Immutable.
 *
 * @param name name used in logs
 * @param host host name in lower case
 * @param pathPrefix prefix that a request path must start with
 * @param kind whether a request may be executed more than once
 * @param resumable whether an interrupted stream may be resumed on another upstream
 * @param isPublic whether requests are served without the key of a client account
 * @param timeout maximum time that a request is kept open
 * @param targetLatency target latency of a response
 * @param maxEventGap longest gap between the events of a stream that counts as harmless
 * @param priority priority from 0 to 9, 0 being the most urgent
 * @param maxAttempts maximum number of upstreams that one request is sent to
 * @param destinations services that receive the requests, with their weights
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RequestKind kind,
        boolean resumable,
        boolean isPublic,
        Duration timeout,
        Duration targetLatency,
        Duration maxEventGap,
        int priority,
        int maxAttempts,
        List<Destination> destinations) {
    /** Priority of a route that states none: engines assume it for requests without a priority. */
    public static final int DEFAULT_PRIORITY = 5;

    /** Creates a route with its own copy of the list of destinations. */
    public Route {
        destinations = List.copyOf(destinations);
    }

    /**
     * A service that receives a weighted share of a route's requests.
     *
     * @param service name of the service
     * @param weight relative weight; 0 for a service that gets no new requests
     */
    public record Destination(String service, int weight) {}

    /**
     * Returns whether a request may be executed more than once.
     *
     * @return true if repeating a request is harmless
     */
    public boolean isIdempotent() {
        return kind == RequestKind.SAFE || kind == RequestKind.STREAM && resumable;
    }

    /**
     * Returns the limits on further attempts after a failed one.
     *
     * @return the attempt limits
     */
    public AttemptRule.Limits attemptLimits() {
        return new AttemptRule.Limits(isIdempotent(), maxAttempts);
    }

    /**
     * Selects a destination by weight.
     *
     * @param point uniformly distributed random number from 0 (inclusive) to 1 (exclusive)
     * @return the name of the selected service
     */
    public String selectService(double point) {
        int totalWeight = destinations.stream().mapToInt(Destination::weight).sum();
        double remainingWeight = point * totalWeight;
        for (Destination destination : destinations) {
            remainingWeight -= destination.weight();
            if (remainingWeight < 0) {
                return destination.service();
            }
        }
        return destinations.getLast().service();
    }
}
