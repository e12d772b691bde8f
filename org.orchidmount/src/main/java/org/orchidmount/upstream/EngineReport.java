/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.upstream;

import java.util.List;

/**
 * The load an engine reports of itself. It lags behind. Immutable.
 *
 * @param running the requests in its batch
 * @param waiting the requests in its queue
 * @param kvBytesUsed the memory taken by requests and exported caches, without the prefix cache
 * @param events changes of its prefix cache since the last report
 * @param nextEvent the number to ask from next time
 * @param eventsLost true if some events are missing
 */
public record EngineReport(
        int running,
        int waiting,
        long kvBytesUsed,
        List<CacheEvent> events,
        long nextEvent,
        boolean eventsLost) {
    /**
     * A change of a prefix cache.
     *
     * @param blockHash the chained hash of the block
     * @param stored true if it was stored, false if evicted
     */
    public record CacheEvent(long blockHash, boolean stored) {}
}
