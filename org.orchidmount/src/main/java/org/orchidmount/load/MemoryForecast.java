/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.load;

import java.util.List;

/**
 * Foretells the memory that the answers of one engine will take.
 *
 * <p>An answer's memory grows with each token until it ends, and its length is known only roughly:
 * its logarithm is taken as normal around the expected one, cut at the most. The runs of an engine
 * end at different moments, so the most that all take together is well below the sum of what each
 * takes at its end. Pure.
 */
final class MemoryForecast {
    /** The spread of the logarithm of an answer's length around what was expected. */
    private static final double LENGTH_SPREAD = 0.4;

    /** How many standard deviations above the mean must fit. */
    private static final double MARGIN = 2.2;

    private static final double[] HORIZONS_MILLIS = {
        0, 250, 500, 800, 1_200, 1_700, 2_300, 3_000, 4_000, 5_500
    };
    private static final double NORMAL_TAIL = 1.702;

    /** How likely a run that is longer than it can be is still there a moment later. */
    private static final double OVERDUE_SURVIVAL = 0.5;

    private MemoryForecast() {}

    /**
     * A run at the present moment.
     *
     * @param promptTokens the tokens of its prompt
     * @param madeTokens the tokens made so far
     * @param expectedTokens the median of its length
     * @param mostTokens the most that its length can be
     */
    record Run(double promptTokens, double madeTokens, double expectedTokens, double mostTokens) {}

    /**
     * Tells the most memory that the runs are likely to take at one moment from now on.
     *
     * @param runs the runs
     * @param tokensPerMilli how fast each grows
     * @return tokens
     */
    static double peakTokens(List<Run> runs, double tokensPerMilli) {
        double peak = 0;
        for (double horizonMillis : HORIZONS_MILLIS) {
            peak = Math.max(peak, tokensAt(runs, horizonMillis * tokensPerMilli));
        }
        return peak;
    }

    private static double tokensAt(List<Run> runs, double grownTokens) {
        double mean = 0;
        double variance = 0;
        for (Run run : runs) {
            double made = Math.min(run.madeTokens() + grownTokens, run.mostTokens());
            double survival = survival(run, run.madeTokens() + grownTokens);
            double tokens = run.promptTokens() + made;
            mean += survival * tokens;
            variance += survival * (1 - survival) * tokens * tokens;
        }
        return mean + MARGIN * Math.sqrt(variance);
    }

    /** The probability that a run still goes on when it would have made that many tokens. */
    private static double survival(Run run, double tokens) {
        if (tokens <= run.madeTokens()) {
            return 1;
        }
        if (run.madeTokens() >= run.mostTokens()) {
            return OVERDUE_SURVIVAL;
        }
        if (tokens >= run.mostTokens()) {
            return 0;
        }
        return longerThan(run, tokens) / longerThan(run, run.madeTokens());
    }

    private static double longerThan(Run run, double tokens) {
        double deviations =
                Math.log(Math.max(1, tokens) / Math.max(1, run.expectedTokens())) / LENGTH_SPREAD;
        return 1 / (1 + Math.exp(NORMAL_TAIL * deviations));
    }
}
