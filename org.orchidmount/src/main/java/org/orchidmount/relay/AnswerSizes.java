/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

/**
 * Estimates how long answers become, from what callers expect and from what was seen here.
 *
 * <p>Callers' estimates are right at the median but often far off, so an estimate is drawn towards
 * the mean of what was seen. What is reserved on top keeps engines from running out of memory: a
 * request that is preempted is read anew, and all other streams of its engine pause meanwhile.
 * Thread-safe.
 */
final class AnswerSizes {
    private static final double EXPECTED_SHARE = 0.65;
    private static final double SAFETY = 1.55;
    private static final double WEIGHT = 0.03;
    private static final double FIRST_MEAN = 3_500;
    private static final int LEAST_TOKENS = 64;

    private double mLogMean = Math.log(FIRST_MEAN);

    /** Takes the length of a whole answer, in tokens. */
    synchronized void seen(long tokens) {
        if (tokens > 0) {
            mLogMean += WEIGHT * (Math.log(tokens) - mLogMean);
        }
    }

    /** Returns the tokens of memory to reserve for an answer. */
    int reserve(RelayRequest.Prompt prompt) {
        double mean;
        synchronized (this) {
            mean = mLogMean;
        }
        double expected = prompt.expectedTokens() > 0 ? Math.log(prompt.expectedTokens()) : mean;
        double blended = Math.exp(EXPECTED_SHARE * expected + (1 - EXPECTED_SHARE) * mean);
        int most = prompt.answerTokens() > 0 ? prompt.answerTokens() : Integer.MAX_VALUE;
        return (int) Math.clamp(SAFETY * blended, Math.min(LEAST_TOKENS, most), most);
    }
}
