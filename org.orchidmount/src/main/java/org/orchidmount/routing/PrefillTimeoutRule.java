/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import java.time.Duration;
import org.orchidmount.clock.Millis;

/**
 * Decides when to give up on a prefill engine that does not answer: once it has taken much longer
 * than its backlog explains. Another prefill engine is then tried. Pure.
 */
public final class PrefillTimeoutRule {
    /** Factor by which an engine may exceed its expected time. */
    private static final double TIMEOUT_FACTOR = 2;

    /**
     * Fraction of the latency target added to allow for short prompts and for pauses of the engine.
     */
    private static final double MARGIN_SHARE = 0.45;

    private PrefillTimeoutRule() {}

    /**
     * Returns the time after which a prefill engine that has not answered is given up.
     *
     * @param nominalMillis time in which an engine of nominal speed would finish, including its
     *     backlog
     * @param target latency target for the first token
     * @param remaining time until the deadline of the request
     * @return the timeout, at most {@code remaining}
     */
    public static Duration responseTimeout(
            double nominalMillis, Duration target, Duration remaining) {
        long nanos = (long) Millis.toNanos(TIMEOUT_FACTOR * nominalMillis);
        long marginNanos = (long) (MARGIN_SHARE * target.toNanos());
        Duration timeout = Duration.ofNanos(nanos + marginNanos);
        return timeout.compareTo(remaining) < 0 ? timeout : remaining;
    }
}
