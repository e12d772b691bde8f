/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.junit;

import java.time.Duration;
import java.util.List;
import org.orchidmount.routes.RequestKind;
import org.orchidmount.routes.Route;

/** Routes for tests that need one and do not care for most of it. Stateless and thread-safe. */
public final class SampleRoutes {
    /** The host of all of them. */
    public static final String HOST = "ficu.example";

    private static final Duration LONGEST_PAUSE = Duration.ofMillis(300);

    private SampleRoutes() {}

    /**
     * Makes a route to streams.
     *
     * @param isResumable whether a stream may be taken up elsewhere
     * @param timeout the longest time that a request is held
     * @param target the time within which an answer is of full use
     * @param maxAttempts the most upstreams that one request is handed to
     * @param service the service that takes them
     * @return the route, for all paths
     */
    public static Route stream(
            boolean isResumable,
            Duration timeout,
            Duration target,
            int maxAttempts,
            String service) {
        return new Route(
                "r",
                HOST,
                "/",
                RequestKind.STREAM,
                isResumable,
                false,
                timeout,
                target,
                LONGEST_PAUSE,
                0,
                maxAttempts,
                List.of(new Route.Destination(service, 1)));
    }
}
