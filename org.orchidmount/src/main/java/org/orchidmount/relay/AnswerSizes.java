/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

/**
 * Estimates how long answers become from what callers expect.
 *
 * <p>Callers' estimates are right at the median but often far off, so an estimate is drawn towards
 * the mean of all. What is reserved on top keeps engines from running out of memory: a request that
 * is preempted is read anew, and all other streams of its engine pause meanwhile. Thread-safe.
 */
final class AnswerSizes {
    private static final double EXPECTED_SHARE = 0.65;
    private static final double SAFETY = 1.7;
    private static final double WEIGHT = 0.03;
    private static final double UNSAID_TOKENS = 1_000;
    private static final int LEAST_TOKENS = 64;
    private static final double PATIENCE = 0.17;
    private static final double LEAST_PATIENCE = 0.1;
    private static final double MOST_PATIENCE = 0.6;

    private double mLogMean;
    private double mMeanNeed;

    /**
     * Returns how long a request may wait for memory, as a share of its target. A small request
     * finds room among others sooner than a large one, so a large one is given more time to find
     * it.
     */
    synchronized double patience(int neededTokens) {
        mMeanNeed = mMeanNeed == 0 ? neededTokens : mMeanNeed + WEIGHT * (neededTokens - mMeanNeed);
        double size = neededTokens / mMeanNeed;
        return Math.clamp(PATIENCE * size * size, LEAST_PATIENCE, MOST_PATIENCE);
    }

    /** Takes a new request into the mean of all. */
    synchronized void observe(RelayRequest.Prompt prompt) {
        if (prompt.expectedTokens() > 0) {
            double expected = Math.log(prompt.expectedTokens());
            double mean = mLogMean == 0 ? expected : mLogMean;
            mLogMean = mean + WEIGHT * (expected - mean);
        }
    }

    /** Returns the tokens of memory to reserve for an answer. */
    int reserve(RelayRequest.Prompt prompt) {
        return atMost(SAFETY * blended(prompt), prompt);
    }

    /** Returns the median of the tokens that an answer is expected to have. */
    int expect(RelayRequest.Prompt prompt) {
        return atMost(blended(prompt), prompt);
    }

    private static int atMost(double tokens, RelayRequest.Prompt prompt) {
        int most = prompt.answerTokens() > 0 ? prompt.answerTokens() : Integer.MAX_VALUE;
        return (int) Math.clamp(tokens, Math.min(LEAST_TOKENS, most), most);
    }

    private synchronized double blended(RelayRequest.Prompt prompt) {
        double mean = mLogMean == 0 ? Math.log(UNSAID_TOKENS) : mLogMean;
        double expected = prompt.expectedTokens() > 0 ? Math.log(prompt.expectedTokens()) : mean;
        return Math.exp(EXPECTED_SHARE * expected + (1 - EXPECTED_SHARE) * mean);
    }
}
