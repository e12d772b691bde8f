/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.junit;

/**
 * How a fake engine behaves. Immutable.
 *
 * @param name the engine's name
 * @param kvBytes its memory for KV cache
 * @param kvBytesPerToken the KV cache of one token
 * @param prefillTokensPerSecond its prefill rate
 * @param stepMicros the time of a decode step with an empty batch
 * @param stepMicrosPerRequest the time each request adds to a step
 * @param maxBatch the most requests in a step
 * @param cacheBlocks the blocks its prefix cache holds
 * @param exportHoldMillis how long a prefill's result is kept
 * @param linkBytesPerSecond the rate at which it imports KV cache
 * @param reportLagMillis the age of its load report and its cache events
 * @param eventLossPercent the cache events that are lost
 * @param checksOrders true if it refuses orders with an old fence
 */
public record EngineConfig(
        String name,
        long kvBytes,
        long kvBytesPerToken,
        int prefillTokensPerSecond,
        long stepMicros,
        long stepMicrosPerRequest,
        int maxBatch,
        int cacheBlocks,
        long exportHoldMillis,
        long linkBytesPerSecond,
        long reportLagMillis,
        int eventLossPercent,
        boolean checksOrders) {
    /**
     * Returns a small engine that suits tests.
     *
     * @param name the engine's name
     * @return 64 MB of KV cache at 1 kB a token, 40,000 prompt tokens a second, steps of 2 ms
     */
    public static EngineConfig small(String name) {
        return new EngineConfig(
                name,
                64_000_000,
                1_000,
                40_000,
                2_000,
                50,
                64,
                4_096,
                3_000,
                400_000_000,
                100,
                5,
                true);
    }
}
