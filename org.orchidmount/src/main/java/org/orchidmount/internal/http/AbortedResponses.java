/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import org.orchidmount.internal.log.PartLog;

/** Logs the responses that a listener gives up, and counts them. Thread-safe. */
public final class AbortedResponses {
    private static final PartLog LOG = PartLog.of("http");

    private final Map<Key, LongAdder> mCounts = new ConcurrentHashMap<>();

    /**
     * What responses are counted by.
     *
     * @param cause why they were given up
     * @param framing how their callers learn where the body ends
     */
    public record Key(AbortCause cause, ResponseFraming framing) {}

    void add(AbortedResponse response) {
        mCounts.computeIfAbsent(
                        new Key(response.cause(), response.framing()), key -> new LongAdder())
                .increment();
        LOG.info("%s", response.toLine());
    }

    /**
     * Returns the number of responses given up.
     *
     * @param key the cause and the framing
     * @return the number since the start
     */
    public long count(Key key) {
        LongAdder count = mCounts.get(key);
        return count == null ? 0 : count.sum();
    }

    /** Returns the counts by cause and framing, for the log. */
    @Override
    public String toString() {
        Map<String, Long> counts = new TreeMap<>();
        mCounts.forEach((key, count) -> counts.put(key.cause() + "/" + key.framing(), count.sum()));
        return counts.toString();
    }
}
