/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.consensus;

import java.time.Duration;

/**
 * The time-outs of a group, all on the monotonic clock.
 *
 * @param heartbeat the pause between rounds of heartbeats
 * @param election the shortest silence of a leader after which a replica stands for election; the
 *     longest is twice that
 * @param firstElection the same after a start, for as long as no leader has been seen; the longest
 *     is three times that
 * @param memberGone the silence after which a voter may be replaced by a waiting replica
 * @param diskStall how long a leader waits for its own disk before it steps down
 */
public record Timing(
        Duration heartbeat,
        Duration election,
        Duration firstElection,
        Duration memberGone,
        Duration diskStall) {
    /**
     * Returns time-outs for links of a few milliseconds.
     *
     * @return heartbeats each 150 ms, elections after 700 to 1,400 ms, or 100 to 300 ms after a
     *     start: some round trips, and the spread that keeps replicas which start together apart
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
