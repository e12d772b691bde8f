/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

/**
 * Why this upstream: the one with the least cost is taken, that is, the one that is expected to be
 * done first. Pure.
 *
 * <p>The cost is the backlog before the work, plus the work, times the upstream's slowness, plus
 * what its failures and a foreign availability zone add, plus a random share of the work.
 */
public final class UpstreamCost {
    /**
     * By what share of its work a choice is varied at random, so that instances that know the same
     * do not all choose the same upstream.
     */
    private static final double TIE_SHARE = 0.1;

    /** Milliseconds of work that a plain request counts as. */
    public static final double PLAIN_REQUEST_MILLIS = 70;

    /** Milliseconds that another availability zone counts for a plain request. */
    public static final double OTHER_ZONE_PLAIN_MILLIS = 15;

    /** The same for an engine, between which and another a KV cache is moved. */
    public static final double OTHER_ZONE_ENGINE_MILLIS = 30;

    /** Times its work that a request counts more at an engine with full memory. */
    private static final double FULL_MEMORY_FACTOR = 1.25;

    private UpstreamCost() {}

    /**
     * Estimates when an upstream of ordinary speed would have done a piece of work.
     *
     * @param workMillis the work
     * @param backlogMillis the work before it
     * @param slots how many requests the upstream works on at once
     * @param isSerial true for engines, which work on one prompt after the other
     * @return milliseconds
     */
    public static double ordinaryMillis(
            double workMillis, double backlogMillis, int slots, boolean isSerial) {
        double waitMillis = isSerial ? backlogMillis : backlogMillis / Math.max(1, slots);
        return waitMillis + workMillis;
    }

    /**
     * Returns what the memory in use adds to the backlog of a decode engine: the fuller it is, the
     * longer each token takes and the sooner it has no room.
     *
     * @param memoryShare the share of its memory in use
     * @param workMillis the work of the request
     * @return milliseconds
     */
    public static double memoryMillis(double memoryShare, double workMillis) {
        return FULL_MEMORY_FACTOR * memoryShare * workMillis;
    }

    /**
     * Returns the cost of an upstream.
     *
     * @param expectedMillis when the work is expected to be done
     * @param workMillis the work
     * @param zoneMillis what another availability zone than the own one counts; 0 in the own one
     * @param draw a number drawn evenly from 0 to below 1
     * @return the cost in milliseconds
     */
    public static double millis(
            double expectedMillis, double workMillis, double zoneMillis, double draw) {
        return expectedMillis + zoneMillis + draw * workMillis * TIE_SHARE;
    }
}
