/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import java.time.Duration;
import java.util.Optional;
import org.orchidmount.clock.Millis;

/** Decides whether an instance that is stopping still begins a streamed output. Pure. */
public final class StopRule {
    private StopRule() {}

    /**
     * Returns whether an output is expected to end before its instance cuts what still runs.
     *
     * @param untilCut the time until then
     * @param waitMillis the expected time to the first token
     * @param outputTokens the expected length of the output
     * @param measured the speed of the engines; empty if no output has been measured
     * @return false only if the measured speed says that it does not end in time
     */
    public static boolean canEnd(
            Duration untilCut,
            double waitMillis,
            int outputTokens,
            Optional<EngineSpeed> measured) {
        return measured.isEmpty()
                || waitMillis + outputTokens / measured.get().outputTokensPerMilli()
                        <= Millis.ofNanos(untilCut.toNanos());
    }
}
