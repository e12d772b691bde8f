/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

/**
 * Computes the cost by which an upstream is chosen. The upstream with the lowest cost, that is,
 * with the earliest expected completion, is chosen. Pure.
 *
 * <p>The cost is the sum of backlog and work, multiplied by the upstream's slowness, plus penalties
 * for its failures and for another availability zone, plus a random share of the work.
 */
public final class UpstreamCost {
    /**
     * Fraction of the work by which the cost is varied at random, so that instances with the same
     * data do not all choose the same upstream.
     */
    private static final double RANDOM_SHARE = 0.1;

    /** Work that a plain request counts as, in milliseconds. */
    public static final double PLAIN_REQUEST_MILLIS = 70;

    /** Cost of another availability zone for a plain request, in milliseconds. */
    public static final double CROSS_ZONE_PLAIN_MILLIS = 15;

    /**
     * Cost of another availability zone for an engine, in milliseconds; a KV cache is transferred
     * between engines.
     */
    public static final double CROSS_ZONE_ENGINE_MILLIS = 30;

    /** Additional cost of a request on an engine with full memory, as a multiple of its work. */
    private static final double FULL_MEMORY_FACTOR = 1.25;

    /**
     * Fraction of the extra time of an output that a slow engine costs: the output holds its memory
     * for longer and pauses more often.
     */
    private static final double EXTRA_OUTPUT_SHARE = 0.1;

    private UpstreamCost() {}

    /**
     * Estimates when an upstream of nominal speed completes a piece of work.
     *
     * @param workMillis the work
     * @param backlogMillis work queued before it
     * @param slots number of requests that the upstream works on concurrently
     * @param isSerial true for engines, which process one prompt after the other
     * @return milliseconds from now
     */
    public static double nominalMillis(
            double workMillis, double backlogMillis, int slots, boolean isSerial) {
        double waitMillis = isSerial ? backlogMillis : backlogMillis / Math.max(1, slots);
        return waitMillis + workMillis;
    }

    /**
     * Returns the additional backlog of a decode engine due to its memory in use. A fuller engine
     * takes longer for each token and runs out of memory sooner.
     *
     * @param memoryShare fraction of the engine's memory in use
     * @param workMillis work of the request
     * @return milliseconds
     */
    public static double memoryMillis(double memoryShare, double workMillis) {
        return FULL_MEMORY_FACTOR * memoryShare * workMillis;
    }

    /**
     * Returns the cost of the extra time that a mean output takes on an engine.
     *
     * @param slowness the factor by which the engine takes longer than the mean of its service
     * @param outputMillis duration of a mean output
     * @return milliseconds; negative for an engine that is faster than the mean
     */
    public static double extraOutputMillis(double slowness, double outputMillis) {
        return EXTRA_OUTPUT_SHARE * (slowness - 1) * outputMillis;
    }

    /**
     * Returns the cost of an upstream.
     *
     * @param expectedMillis expected completion time of the work
     * @param workMillis the work
     * @param zoneMillis cost of the upstream's availability zone; 0 for the zone of this instance
     * @param draw random number, uniform from 0 to below 1
     * @return the cost in milliseconds
     */
    public static double millis(
            double expectedMillis, double workMillis, double zoneMillis, double draw) {
        return expectedMillis + zoneMillis + draw * workMillis * RANDOM_SHARE;
    }
}
