/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Tells the retry of a client that was refused from a new request.
 *
 * <p>Clients state how long they still wait, and those of one route all wait equally long at first;
 * one that states clearly less has been refused before. Thread-safe.
 */
public final class ClientRetryDetector {
    /**
     * The share of the longest wait below which a request is a retry. Chosen, not measured: the
     * time to come back is at least 3 s of the sites' 14 s.
     */
    private static final double FIRST_TRY_SHARE = 0.93;

    /** Bounds the memory; the map is emptied beyond. Far more routes than a table has. */
    private static final int MAX_ROUTES = 10_000;

    private final Map<String, Duration> mLongestWaits = new ConcurrentHashMap<>();

    /**
     * Takes a request into account.
     *
     * @param route its route's name
     * @param wait how long its client still waits
     * @return true if it is a retry
     */
    public boolean isRetry(String route, Duration wait) {
        if (mLongestWaits.size() > MAX_ROUTES) {
            mLongestWaits.clear();
        }
        Duration longest = mLongestWaits.merge(route, wait, (a, b) -> a.compareTo(b) >= 0 ? a : b);
        return wait.toNanos() < FIRST_TRY_SHARE * longest.toNanos();
    }
}
