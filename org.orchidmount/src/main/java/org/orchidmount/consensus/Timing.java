/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.consensus;

import java.time.Duration;

/**
 * The intervals and time-outs of a group, measured on the monotonic clock.
 *
 * @param heartbeat the interval between heartbeat rounds
 * @param election the minimum election time-out; the randomized time-out is less than twice that
 * @param firstElection the minimum election time-out after a start, while no leader has been seen;
 *     the randomized time-out is less than three times that
 * @param memberTimeout the time without a reply after which a voter may be replaced by a non-voter
 * @param diskStall the time for which a leader waits for a durable write before it steps down
 */
public record Timing(
        Duration heartbeat,
        Duration election,
        Duration firstElection,
        Duration memberTimeout,
        Duration diskStall) {
    /**
     * Returns time-outs for networks with latencies of a few milliseconds.
     *
     * @return heartbeats every 150 ms, elections after 700 to 1,400 ms, or 100 to 300 ms after a
     *     start: several round trips, spread so that replicas started together rarely collide
     */
    public static Timing defaults() {
        return new Timing(
                Duration.ofMillis(150),
                Duration.ofMillis(700),
                Duration.ofMillis(100),
                Duration.ofMillis(2_500),
                Duration.ofMillis(900));
    }
}
