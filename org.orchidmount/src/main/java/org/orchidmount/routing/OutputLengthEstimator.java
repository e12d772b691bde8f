/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

/**
 * Estimates how many tokens outputs have, from what callers expect, and how large requests are
 * against the mean.
 *
 * <p>Callers' estimates are right at the median but spread widely (deviation of the logarithm
 * 0.38), so an estimate is drawn towards the mean of all. Thread-safe.
 */
public final class OutputLengthEstimator {
    /** Weight of the caller's own estimate against the mean of all. */
    private static final double OWN_WEIGHT = 0.65;

    /**
     * Reserved by the estimate. A preempted sequence is prefilled anew, and all other streams of
     * its engine pause meanwhile (rounds ec71cb6c and ce783d86 in docs/ROUNDS.md).
     */
    private static final double RESERVE_FACTOR = 1.7;

    /** Smoothing factor of both means: some 30 requests. */
    private static final double SMOOTHING = 0.03;

    /** Tokens assumed before any caller has stated an estimate. */
    private static final double UNKNOWN_TOKENS = 1_000;

    /** The least tokens estimated, unless the caller's limit is lower. */
    private static final int MIN_TOKENS = 64;

    private double mLogMean;
    private double mMeanRequestTokens;

    /**
     * What a caller states of the output it wants.
     *
     * @param expectedTokens its estimate; 0 if it states none
     * @param maxTokens its limit; 0 if it states none
     */
    public record Stated(int expectedTokens, int maxTokens) {}

    /**
     * Takes a new request into the mean of all.
     *
     * @param stated what its caller states
     */
    public synchronized void observe(Stated stated) {
        if (stated.expectedTokens() > 0) {
            double expected = Math.log(stated.expectedTokens());
            double mean = mLogMean == 0 ? expected : mLogMean;
            mLogMean = mean + SMOOTHING * (expected - mean);
        }
    }

    /**
     * Returns the median of the tokens that an output is expected to have.
     *
     * @param stated what its caller states
     * @return tokens
     */
    public int expect(Stated stated) {
        return bounded(blended(stated), stated);
    }

    /**
     * Returns the tokens of memory to reserve for a whole output.
     *
     * @param stated what its caller states
     * @return tokens
     */
    public int reserve(Stated stated) {
        return bounded(RESERVE_FACTOR * blended(stated), stated);
    }

    /**
     * Compares a request with the mean of all, and takes it into that mean.
     *
     * @param requestTokens the tokens of its prompt and of the expected output
     * @return its size by the mean
     */
    public synchronized double relativeSize(int requestTokens) {
        mMeanRequestTokens =
                mMeanRequestTokens == 0
                        ? requestTokens
                        : mMeanRequestTokens + SMOOTHING * (requestTokens - mMeanRequestTokens);
        return requestTokens / mMeanRequestTokens;
    }

    private static int bounded(double tokens, Stated stated) {
        int max = stated.maxTokens() > 0 ? stated.maxTokens() : Integer.MAX_VALUE;
        return (int) Math.clamp(tokens, Math.min(MIN_TOKENS, max), max);
    }

    private synchronized double blended(Stated stated) {
        double mean = mLogMean == 0 ? Math.log(UNKNOWN_TOKENS) : mLogMean;
        double expected = stated.expectedTokens() > 0 ? Math.log(stated.expectedTokens()) : mean;
        return Math.exp(OWN_WEIGHT * expected + (1 - OWN_WEIGHT) * mean);
    }
}
