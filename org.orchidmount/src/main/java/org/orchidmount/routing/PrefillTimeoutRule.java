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
    private static final double SILENCE_FACTOR = 2;

    /**
     * Fraction of the latency target added to allow for short prompts and for pauses of the engine.
     */
    private static final double MARGIN_SHARE = 0.45;

    private PrefillTimeoutRule() {}

    /**
     * Returns the time after which a prefill engine that has not answered is given up.
     *
     * @param ordinaryMillis time in which an engine of nominal speed would finish, including its
     *     backlog
     * @param target latency target for the first token
     * @param left time until the deadline of the request
     * @return the timeout, at most {@code left}
     */
    public static Duration silenceLimit(double ordinaryMillis, Duration target, Duration left) {
        long nanos = (long) Millis.toNanos(SILENCE_FACTOR * ordinaryMillis);
        long marginNanos = (long) (MARGIN_SHARE * target.toNanos());
        Duration limit = Duration.ofNanos(nanos + marginNanos);
        return limit.compareTo(left) < 0 ? limit : left;
    }
}
