/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.stream;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.orchidmount.clock.MonotonicClock;

/**
 * Origins of the streams that callers may still continue.
 *
 * <p>Invariants: a stream has one origin for all its lifetime, so records may arrive in any order
 * and more than once; a stream that was told with two origins has none. Beyond its capacity it
 * takes no more records, in which case streams end that could have been continued. Thread-safe.
 */
public final class StreamRegistry {
    /** Above the streams that the target deployment begins within the longest deadline. */
    private static final int MAX_RECORDS = 400_000;

    /** Longest lifetime of a record, whatever a caller states. */
    private static final Duration MAX_LIFETIME = Duration.ofSeconds(120);

    private final Map<StreamKey, Entry> mEntries = new ConcurrentHashMap<>();
    private final MonotonicClock mClock;

    /** An origin, empty if the stream was told with two. */
    private record Entry(Optional<StreamOrigin> origin, long endNanos) {
        Entry merge(Entry other) {
            long latestNanos = endNanos - other.endNanos >= 0 ? endNanos : other.endNanos;
            Optional<StreamOrigin> same =
                    origin.equals(other.origin) ? origin : Optional.<StreamOrigin>empty();
            return new Entry(same, latestNanos);
        }
    }

    /**
     * Creates an empty registry.
     *
     * @param clock the monotonic clock
     */
    public StreamRegistry(MonotonicClock clock) {
        mClock = clock;
    }

    /**
     * Adds the origin of a stream.
     *
     * @param stream the record
     */
    public void add(StreamRecord stream) {
        Duration lifetime =
                stream.lifetime().compareTo(MAX_LIFETIME) < 0 ? stream.lifetime() : MAX_LIFETIME;
        Entry entry =
                new Entry(Optional.of(stream.origin()), mClock.nanoTime() + lifetime.toNanos());
        if (mEntries.size() < MAX_RECORDS || mEntries.containsKey(stream.key())) {
            mEntries.merge(stream.key(), entry, Entry::merge);
        }
    }

    /**
     * Returns the record of a stream.
     *
     * @param key the stream
     * @return its record with the rest of its lifetime; empty if its origin is not known
     */
    public Optional<StreamRecord> find(StreamKey key) {
        return Optional.ofNullable(mEntries.get(key))
                .flatMap(entry -> record(key, entry, mClock.nanoTime()));
    }

    private static Optional<StreamRecord> record(StreamKey key, Entry entry, long nowNanos) {
        long leftNanos = entry.endNanos() - nowNanos;
        return leftNanos <= 0
                ? Optional.empty()
                : entry.origin()
                        .map(origin -> new StreamRecord(key, origin, Duration.ofNanos(leftNanos)));
    }

    /**
     * Returns all records.
     *
     * @return a copy
     */
    public List<StreamRecord> all() {
        long nowNanos = mClock.nanoTime();
        List<StreamRecord> records = new ArrayList<>();
        mEntries.forEach((key, entry) -> record(key, entry, nowNanos).ifPresent(records::add));
        return records;
    }

    /** Removes the records whose lifetime has ended. */
    public void removeExpired() {
        long nowNanos = mClock.nanoTime();
        mEntries.values().removeIf(entry -> entry.endNanos() - nowNanos <= 0);
    }
}
