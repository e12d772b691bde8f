/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

/**
 * What is known of one upstream at the time of a decision. Immutable.
 *
 * <p>Figures called "reported" come from the engine and lag behind; figures called "own" are this
 * instance's reservations and are exact.
 *
 * @param name the upstream's name
 * @param zone its availability zone
 * @param weight its share of the work
 * @param available false while it drains or its circuit is open
 * @param maxRunning the most requests running on it, 0 for no limit
 * @param ownRunning the requests placed on it by this instance
 * @param reportedRunning the requests it reported
 * @param kvBytes its memory for KV cache
 * @param kvBytesTaken the memory taken: reported plus what was reserved since the report
 * @param reportedKvBytes the memory it reported as taken
 * @param backlogTokens the uncached prompt tokens placed on it and not yet processed
 * @param prefillTokensPerSecond its measured or assumed rate
 * @param linkBytesPerSecond the rate at which it imports KV cache
 * @param linkBacklogBytes the KV cache reserved on its link and not yet transferred
 */
public record UpstreamView(
        String name,
        String zone,
        int weight,
        boolean available,
        int maxRunning,
        int ownRunning,
        int reportedRunning,
        long kvBytes,
        long kvBytesTaken,
        long reportedKvBytes,
        long backlogTokens,
        double prefillTokensPerSecond,
        long linkBytesPerSecond,
        long linkBacklogBytes) {
    /**
     * Tells whether one more request may run.
     *
     * @return false if the limit on running requests is reached
     */
    public boolean hasSlot() {
        return maxRunning == 0 || Math.max(ownRunning, reportedRunning) < maxRunning;
    }

    /**
     * Returns the memory that is free.
     *
     * @return bytes, at least 0
     */
    public long freeKvBytes() {
        return Math.max(0, kvBytes - kvBytesTaken);
    }
}
