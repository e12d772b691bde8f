/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;
import org.orchidmount.clock.Millis;

/** Decides whether an instance that is stopping still begins a request. Pure. */
public final class StopRule {
    /**
     * The probability of being cut above which an output is not begun: a cut costs a caller about
     * ten times as much as a refusal, after which another instance serves it.
     */
    public static final double MAX_CUT_PROBABILITY = 0.1;

    private StopRule() {}

    /**
     * Returns whether to begin an output.
     *
     * @param untilCut the time until the instance cuts what still runs
     * @param waitMillis the expected time to the first token
     * @param output what is known of its length
     * @param measured the speed of the engines; empty if no output has been observed
     * @return false only if the measured speed says that it is too likely to be cut
     */
    public static boolean mayBegin(
            Duration untilCut,
            double waitMillis,
            OutputForecast output,
            Optional<EngineSpeed> measured) {
        return measured.isEmpty()
                || cutProbability(untilCut, waitMillis, output, measured.get())
                        <= MAX_CUT_PROBABILITY;
    }

    /**
     * Returns whether to begin a request that is not sent to an engine.
     *
     * @param cutProbability the probability that it takes longer than is left; empty if unknown
     * @return false only if it is known to be too likely to be cut
     */
    public static boolean mayBegin(OptionalDouble cutProbability) {
        return cutProbability.orElse(0) <= MAX_CUT_PROBABILITY;
    }

    /**
     * Returns the probability that an output is cut.
     *
     * @param untilCut the time until the instance cuts what still runs
     * @param waitMillis the expected time to the first token
     * @param output what is known of its length
     * @param speed the speed of its engine
     * @return from 0 to 1
     */
    public static double cutProbability(
            Duration untilCut, double waitMillis, OutputForecast output, EngineSpeed speed) {
        double outputMillis = Millis.ofNanos(untilCut.toNanos()) - waitMillis;
        return outputMillis < 0
                ? 1
                : output.probabilityOfMore(outputMillis * speed.outputTokensPerMilli());
    }
}
