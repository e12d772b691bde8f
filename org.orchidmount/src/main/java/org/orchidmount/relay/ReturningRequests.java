/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Tells requests that come back after a refusal from new ones.
 *
 * <p>Callers say how long they will still wait, and those of one route all wait equally long at
 * first; who says clearly less has been here before. Thread-safe.
 */
final class ReturningRequests {
    private static final double WHOLE_SHARE = 0.93;
    private static final int MOST_ROUTES = 10_000;

    private final Map<String, Duration> mLongestByRoute = new ConcurrentHashMap<>();

    /**
     * Notes a request.
     *
     * @param route its route's name
     * @param waits how long its caller will still wait
     * @return true if it has come back
     */
    boolean isReturning(String route, Duration waits) {
        if (mLongestByRoute.size() > MOST_ROUTES) {
            mLongestByRoute.clear();
        }
        Duration longest =
                mLongestByRoute.merge(route, waits, (a, b) -> a.compareTo(b) >= 0 ? a : b);
        return waits.toNanos() < WHOLE_SHARE * longest.toNanos();
    }
}
