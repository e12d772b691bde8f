/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.lock;

/**
 * The order in which locks are taken. A thread that holds a lock may only take locks of a later
 * rank. This is the one place that states the order.
 */
public enum LockRank {
    /** The table store: one change at a time. */
    TABLE,
    /** Upstream slots, reservations and the wait queue. */
    BOARD,
    /** The answers that engines are making. */
    LOADS,
    /** Counters of limits and the retry budget. */
    LIMITS,
    /** The registry of requests. */
    REQUESTS,
    /** Claims of not-repeatable requests. */
    CLAIMS,
    /** Idle connections to upstreams. */
    CONNECTIONS,
    /** The instances that open tunnels. */
    PATHS,
    /** Evidence about upstreams. */
    EVIDENCE,
    /** Crashes of upstreams that are not proved yet. */
    CRASHES,
    /** Records of requests that crash upstreams. */
    QUARANTINE,
    /** Limits that upstreams state. */
    UPSTREAM_LIMITS
}
