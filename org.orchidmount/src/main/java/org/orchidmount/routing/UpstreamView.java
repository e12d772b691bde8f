/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

/**
 * State of one upstream at the time of a decision. Immutable.
 *
 * <p>Reported values come from the engine and lag behind; own values are the reservations of this
 * instance and are exact.
 *
 * @param name the upstream's name
 * @param zone its availability zone
 * @param weight its relative share of the work
 * @param available false while the upstream drains or its circuit is open
 * @param maxRunning maximum number of concurrent requests, 0 for no limit
 * @param ownRunning requests placed on it by this instance
 * @param reportedRunning running requests by its latest report
 * @param kvBytes KV cache memory in total
 * @param kvBytesTaken KV cache memory in use: the reported usage plus reservations made since the
 *     report
 * @param reportedKvBytes KV cache memory in use by its latest report
 * @param backlogTokens uncached prompt tokens placed on it and not yet processed
 * @param prefillTokensPerSecond measured or assumed prefill rate
 * @param linkBytesPerSecond rate at which it imports KV cache
 * @param linkBacklogBytes KV cache reserved on its link and not yet transferred
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
     * Returns whether the upstream can run one more request.
     *
     * @return false if the maximum number of concurrent requests is reached
     */
    public boolean hasSlot() {
        return maxRunning == 0 || Math.max(ownRunning, reportedRunning) < maxRunning;
    }

    /**
     * Returns the free KV cache memory.
     *
     * @return bytes, at least 0
     */
    public long freeKvBytes() {
        return Math.max(0, kvBytes - kvBytesTaken);
    }
}
