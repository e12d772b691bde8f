/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.table;

/**
 * One upstream: a model engine or an instance of a plain service. Immutable.
 *
 * @param name the upstream's name
 * @param pool the pool it belongs to
 * @param host its IP address
 * @param port its TCP port
 * @param zone its availability zone
 * @param mode whether it takes new work
 * @param weight its share of the work against others of the pool, from 1 to 1000
 * @param maxRunning the most requests running on it, 0 for no limit
 * @param kvBytes its memory for KV cache; 0 for a plain service
 * @param prefillTokensPerSecond the rate assumed until one has been measured; 0 for other roles
 * @param linkBytesPerSecond the rate at which it imports KV cache; 0 for other roles
 */
public record UpstreamRow(
        String name,
        String pool,
        String host,
        int port,
        String zone,
        UpstreamMode mode,
        int weight,
        int maxRunning,
        long kvBytes,
        int prefillTokensPerSecond,
        long linkBytesPerSecond)
        implements Row {
    /** Checks the fields. */
    public UpstreamRow {
        Fields.name("name", name);
        Fields.name("pool", pool);
        Fields.name("host", host);
        Fields.range("port", port, 1, RowLimits.MAX_PORT);
        Fields.name("zone", zone);
        Fields.present("mode", mode, "give active or draining");
        Fields.range("weight", weight, 1, RowLimits.MAX_WEIGHT);
        Fields.range("maxRunning", maxRunning, 0, RowLimits.MAX_REQUESTS);
        Fields.range("kvBytes", kvBytes, 0, RowLimits.MAX_ENGINE_BYTES);
        Fields.range(
                "prefillTokensPerSecond",
                prefillTokensPerSecond,
                0,
                RowLimits.MAX_TOKENS_PER_SECOND);
        Fields.range("linkBytesPerSecond", linkBytesPerSecond, 0, RowLimits.MAX_ENGINE_BYTES);
    }

    /**
     * Returns this row with another mode.
     *
     * @param newMode the mode
     * @return the changed copy
     */
    public UpstreamRow withMode(UpstreamMode newMode) {
        return new UpstreamRow(
                name,
                pool,
                host,
                port,
                zone,
                newMode,
                weight,
                maxRunning,
                kvBytes,
                prefillTokensPerSecond,
                linkBytesPerSecond);
    }

    @Override
    public RowKind rowKind() {
        return RowKind.UPSTREAM;
    }
}
