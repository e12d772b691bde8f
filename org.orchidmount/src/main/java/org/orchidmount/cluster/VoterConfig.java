/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.orchidmount.consensus.Timing;

/**
 * Configuration of a voter. Immutable.
 *
 * @param node the instance name
 * @param zone the instance's availability zone
 * @param address the listening address for other instances
 * @param controlAddress the listening address for operators and upstreams
 * @param seeds the control and cluster addresses of some voters
 * @param firstStart whether the whole site starts for the first time, in which case the seeds found
 *     the group
 * @param folder the folder of the voter's durable state
 * @param lossesBorne the number of voters that may fail at the same time
 * @param timing the time-outs of the consensus group
 * @param stages the settings for orders to engines
 */
public record VoterConfig(
        String node,
        String zone,
        HostPort address,
        String controlAddress,
        List<Seed> seeds,
        boolean firstStart,
        Path folder,
        int lossesBorne,
        Timing timing,
        StageOrderConfig stages) {
    /** Creates a configuration with a copy of the list of seeds. */
    public VoterConfig {
        seeds = List.copyOf(seeds);
    }

    /**
     * Settings for orders to engines.
     *
     * @param lease the time for which orders of a former leader may still be in progress
     * @param heartbeat the interval between two heartbeats of an upstream
     * @param prefillShare the fraction of the engines that prefill
     * @param orders the client that sends orders
     */
    public record StageOrderConfig(
            Duration lease, Duration heartbeat, double prefillShare, StageOrderClient orders) {}

    /**
     * A voter listed in the settings.
     *
     * @param address its listening address for other instances
     * @param controlAddress its listening address for operators and upstreams
     */
    public record Seed(HostPort address, String controlAddress) {}
}
