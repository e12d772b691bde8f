/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.time.Duration;

/**
 * Determines when a voter may send the next digest: after a minimum interval, and after the time
 * for which the bytes of the previous digest use up the bound of control traffic. Digests of new
 * failures thus follow each other within 20 ms while they are small, and never exceed the bound.
 * Not thread-safe.
 */
final class DigestPacer {
    /** Minimum interval between two digests, in which the reports of several entries gather. */
    static final Duration MIN_INTERVAL = Duration.ofMillis(20);

    /** Bound of control traffic for an instance, 7 KB/s, in bytes per millisecond. */
    private static final long BYTES_PER_MILLI = 7;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private boolean mHasSent;
    private long mNextNanos;

    /**
     * Records that a digest was sent.
     *
     * @param nowNanos current monotonic time
     * @param bytes size of the digest in its wire format; 0 if there was nothing to send
     */
    void sent(long nowNanos, int bytes) {
        long sizeNanos = bytes * NANOS_PER_MILLI / BYTES_PER_MILLI;
        mHasSent = true;
        mNextNanos = nowNanos + Math.max(MIN_INTERVAL.toNanos(), sizeNanos);
    }

    /**
     * Returns the time until the next digest may be sent.
     *
     * @param nowNanos current monotonic time
     * @return the time; zero if it may be sent now
     */
    Duration delay(long nowNanos) {
        return mHasSent ? Duration.ofNanos(Math.max(0, mNextNanos - nowNanos)) : Duration.ZERO;
    }
}
