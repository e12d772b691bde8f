/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import java.time.Duration;
import org.orchidmount.clock.Millis;

/**
 * Why a silent prefill engine is given up: it has taken much longer than its backlog explains.
 * Another prefill engine is then asked (rounds 139244b5, a3f45374 and 62aed083 in docs/ROUNDS.md).
 * Pure.
 */
public final class PrefillTimeoutRule {
    /** Times the expected time that an engine may stay silent. Chosen, not measured. */
    private static final double SILENCE_FACTOR = 2;

    /** Added for short prompts and for pauses of the engine. Chosen, not measured. */
    private static final Duration MARGIN = Duration.ofMillis(400);

    private PrefillTimeoutRule() {}

    /**
     * Returns how long a prefill engine may stay silent.
     *
     * @param ordinaryMillis when an engine of ordinary speed would be done, backlog included
     * @param left the time until the request must have its final answer
     * @return the longest silence, at most {@code left}
     */
    public static Duration silenceLimit(double ordinaryMillis, Duration left) {
        long nanos = (long) Millis.toNanos(SILENCE_FACTOR * ordinaryMillis);
        Duration limit = Duration.ofNanos(nanos + MARGIN.toNanos());
        return limit.compareTo(left) < 0 ? limit : left;
    }
}
