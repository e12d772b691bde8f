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
 * How a voter is set up. Immutable.
 *
 * @param node the instance's name
 * @param zone its availability zone
 * @param address where it listens to other instances
 * @param controlAddress where it serves operators and upstreams
 * @param seeds control and cluster addresses of some voters
 * @param firstStart true only at the first start of the whole site, when the seeds found the group
 * @param folder where its state is kept
 * @param lossesBorne how many voters may be lost at once
 * @param timing the time-outs of the group
 * @param stages how orders to engines are given
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
        Stages stages) {
    /** Copies the list of seeds. */
    public VoterConfig {
        seeds = List.copyOf(seeds);
    }

    /**
     * How orders to engines are given.
     *
     * @param lease how long a holder's orders may be under way
     * @param heartbeat the pause between two messages of an upstream
     * @param prefillShare the share of prefill engines
     * @param orders gives the orders
     */
    public record Stages(
            Duration lease, Duration heartbeat, double prefillShare, StageOrders orders) {}

    /**
     * A voter known from the settings.
     *
     * @param address where it listens to other instances
     * @param controlAddress where it serves operators and upstreams
     */
    public record Seed(HostPort address, String controlAddress) {}
}
