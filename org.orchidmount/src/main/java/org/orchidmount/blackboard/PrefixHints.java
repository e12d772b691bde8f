/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.blackboard;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.orchidmount.upstream.EngineReport;

/**
 * What this instance believes an engine holds in its prefix cache.
 *
 * <p>Beliefs come from own placements and from cache events, which are late and have gaps; so they
 * are hints whose confidence halves with time and which are never more than a bounded number. Not
 * thread-safe: guarded by the board's lock.
 */
final class PrefixHints {
    /** Blocks remembered for each engine, some MB. */
    private static final int MAX_BLOCKS = 65_536;

    /** Nanoseconds after which a hint counts no more. */
    private static final long TRUST_NANOS = TimeUnit.SECONDS.toNanos(120);

    /** After lost events, beliefs count as this much older. */
    private static final long GAP_PENALTY_NANOS = TRUST_NANOS / 2;

    private final Map<Long, Long> mSeenNanos =
            new LinkedHashMap<>(16, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
                    return size() > MAX_BLOCKS;
                }
            };

    void placed(long[] blocks, long nowNanos) {
        for (long block : blocks) {
            mSeenNanos.put(block, nowNanos);
        }
    }

    void observed(EngineReport report, long nowNanos) {
        if (report.eventsLost()) {
            mSeenNanos.replaceAll((block, seen) -> seen - GAP_PENALTY_NANOS);
        }
        for (EngineReport.CacheEvent event : report.events()) {
            if (event.stored()) {
                mSeenNanos.put(event.blockHash(), nowNanos);
            } else {
                mSeenNanos.remove(event.blockHash());
            }
        }
    }

    /** Returns how many blocks from the first on are believed to be cached. */
    int cachedBlocks(long[] blocks, long nowNanos) {
        int count = 0;
        for (long block : blocks) {
            Long seen = mSeenNanos.get(block);
            if (seen == null || nowNanos - seen > TRUST_NANOS) {
                break;
            }
            count++;
        }
        return count;
    }

    void clear() {
        mSeenNanos.clear();
    }
}
