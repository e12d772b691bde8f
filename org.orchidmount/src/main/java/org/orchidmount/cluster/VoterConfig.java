/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.nio.file.Path;
import java.util.List;
import org.orchidmount.consensus.Timing;

/**
 * How a voter is set up. Immutable.
 *
 * @param node the instance's name
 * @param address where it listens to other instances
 * @param controlAddress where it serves operators and upstreams
 * @param seeds control and cluster addresses of some voters
 * @param firstStart true only at the first start of the whole site, when the seeds found the group
 * @param folder where its state is kept
 * @param lossesBorne how many voters may be lost at once
 * @param timing the time-outs of the group
 */
public record VoterConfig(
        String node,
        HostPort address,
        String controlAddress,
        List<Seed> seeds,
        boolean firstStart,
        Path folder,
        int lossesBorne,
        Timing timing) {
    /** Copies the list of seeds. */
    public VoterConfig {
        seeds = List.copyOf(seeds);
    }

    /**
     * A voter known from the settings.
     *
     * @param address where it listens to other instances
     * @param controlAddress where it serves operators and upstreams
     */
    public record Seed(HostPort address, String controlAddress) {}
}
