/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import java.util.List;

/**
 * Forecasts the most memory that the sequences of one decode engine will take together. Pure.
 *
 * <p>A sequence's memory grows with each token until it ends, and its length is known only roughly:
 * its logarithm is taken as normal around the expected one, cut at the maximum. Sequences end at
 * different moments, so the peak of the sum is well below the sum of the peaks. With few sequences
 * the margin would exceed all that they can take, so that a prompt of more than about half of an
 * engine's memory would find no room on an empty engine; the sum of all of them bounds it.
 */
public final class MemoryForecast {
    /** Deviation of the logarithm of an output's length from the estimate: 0.38 (d3944360). */
    private static final double LENGTH_DEVIATION = 0.4;

    /** Standard deviations above the mean that must fit: 1.3 preempted 37 a day (62022e93). */
    private static final double MARGIN_DEVIATIONS = 2.2;

    /**
     * Moments at which the sum is looked at, as shares of the time that an output of mean length
     * takes; the last is beyond nearly all outputs.
     */
    private static final double[] HORIZON_SHARES = {
        0, 0.08, 0.16, 0.25, 0.36, 0.5, 0.7, 0.9, 1.2, 1.6
    };

    /** The logistic function with this slope is within 0.01 of the normal distribution. */
    private static final double LOGISTIC_SLOPE = 1.702;

    /** Probability that a sequence beyond its maximum goes on a moment longer. */
    private static final double OVERDUE_SURVIVAL = 0.5;

    private MemoryForecast() {}

    /**
     * A sequence at the present moment.
     *
     * @param promptTokens the tokens of its prompt
     * @param generatedTokens the tokens generated so far
     * @param expectedTokens the median of its output's length
     * @param maxOutputTokens the most that its output's length can be
     */
    public record Sequence(
            double promptTokens,
            double generatedTokens,
            double expectedTokens,
            double maxOutputTokens) {}

    /**
     * Returns the most memory that the sequences are likely to take at one moment from now on. All
     * grow alike, so it does not matter how fast.
     *
     * @param sequences the sequences
     * @return tokens
     */
    public static double peakTokens(List<Sequence> sequences) {
        double meanTokens =
                sequences.stream().mapToDouble(Sequence::expectedTokens).average().orElse(0);
        double peak = 0;
        for (double share : HORIZON_SHARES) {
            peak = Math.max(peak, tokensAt(sequences, share * meanTokens));
        }
        return peak;
    }

    private static double tokensAt(List<Sequence> sequences, double grownTokens) {
        double mean = 0;
        double variance = 0;
        double most = 0;
        for (Sequence sequence : sequences) {
            double generated =
                    Math.min(sequence.generatedTokens() + grownTokens, sequence.maxOutputTokens());
            double survival = survival(sequence, sequence.generatedTokens() + grownTokens);
            double tokens = sequence.promptTokens() + generated;
            most += survival > 0 ? tokens : 0;
            mean += survival * tokens;
            variance += survival * (1 - survival) * tokens * tokens;
        }
        return Math.min(most, mean + MARGIN_DEVIATIONS * Math.sqrt(variance));
    }

    /** The probability that a sequence still goes on when it would have that many output tokens. */
    private static double survival(Sequence sequence, double tokens) {
        if (tokens <= sequence.generatedTokens()) {
            return 1;
        }
        if (sequence.generatedTokens() >= sequence.maxOutputTokens()) {
            return OVERDUE_SURVIVAL;
        }
        if (tokens >= sequence.maxOutputTokens()) {
            return 0;
        }
        return longerThan(sequence, tokens) / longerThan(sequence, sequence.generatedTokens());
    }

    private static double longerThan(Sequence sequence, double tokens) {
        double deviations =
                Math.log(Math.max(1, tokens) / Math.max(1, sequence.expectedTokens()))
                        / LENGTH_DEVIATION;
        return 1 / (1 + Math.exp(LOGISTIC_SLOPE * deviations));
    }
}
