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
    /** Times the expected time that an engine may stay silent. */
    private static final double SILENCE_FACTOR = 2;

    /** Share of the target added for short prompts and for pauses of the engine. */
    private static final double MARGIN_SHARE = 0.45;

    private PrefillTimeoutRule() {}

    /**
     * Returns how long a prefill engine may stay silent.
     *
     * @param ordinaryMillis when an engine of ordinary speed would be done, backlog included
     * @param target the time to the first token that is of full use
     * @param left the time until the request must have its final answer
     * @return the longest silence, at most {@code left}
     */
    public static Duration silenceLimit(double ordinaryMillis, Duration target, Duration left) {
        long nanos = (long) Millis.toNanos(SILENCE_FACTOR * ordinaryMillis);
        long marginNanos = (long) (MARGIN_SHARE * target.toNanos());
        Duration limit = Duration.ofNanos(nanos + marginNanos);
        return limit.compareTo(left) < 0 ? limit : left;
    }
}
