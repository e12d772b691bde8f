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
 * A rule for the requests of one host below one path. Immutable.
 *
 * @param name the name, for logs
 * @param host the host, in lower case
 * @param pathPrefix what the path must begin with
 * @param kind what may be repeated
 * @param resumable whether a stream may be taken up at another upstream
 * @param isPublic whether requests need no key of a client account
 * @param timeout the longest time that a request is held
 * @param target the time within which an answer is of full use
 * @param longestPause the longest pause between events that does no harm
 * @param priority the rank, 0 being the most urgent
 * @param maxAttempts the most upstreams that one request is handed to
 * @param destinations the services that take the requests, by weight
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RequestKind kind,
        boolean resumable,
        boolean isPublic,
        Duration timeout,
        Duration target,
        Duration longestPause,
        int priority,
        int maxAttempts,
        List<Destination> destinations) {
    /** Copies the list of destinations. */
    public Route {
        destinations = List.copyOf(destinations);
    }

    /**
     * A share of a route's requests.
     *
     * @param service the service
     * @param weight its weight, 0 for no new requests
     */
    public record Destination(String service, int weight) {}

    /**
     * Tells whether a request may be run more than once.
     *
     * @return true if a repetition does no harm
     */
    public boolean isIdempotent() {
        return kind == RequestKind.SAFE || kind == RequestKind.STREAM && resumable;
    }

    /**
     * Returns what the route allows when an attempt fails.
     *
     * @return the limits
     */
    public AttemptRule.Limits attemptLimits() {
        return new AttemptRule.Limits(isIdempotent(), maxAttempts);
    }

    /**
     * Chooses a service.
     *
     * @param point a number from 0 to below 1, drawn evenly
     * @return the service
     */
    public String service(double point) {
        int sum = destinations.stream().mapToInt(Destination::weight).sum();
        double left = point * sum;
        for (Destination destination : destinations) {
            left -= destination.weight();
            if (left < 0) {
                return destination.service();
            }
        }
        return destinations.getLast().service();
    }
}
