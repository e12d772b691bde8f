/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

/**
 * Estimates the output length of a request from the caller's own estimate, and the size of a
 * request relative to the mean.
 *
 * <p>Callers' estimates are unbiased at the median but vary widely (standard deviation of the
 * logarithm 0.38), so each estimate is drawn towards the mean of all. Thread-safe.
 */
public final class OutputLengthEstimator {
    /** Weight of the caller's own estimate relative to the mean of all. */
    private static final double OWN_WEIGHT = 0.65;

    /**
     * Ratio of the reserved output tokens to the estimate. Too small a reserve leads to preemption:
     * a preempted sequence is prefilled again, which pauses all other streams of its engine.
     */
    private static final double RESERVE_FACTOR = 1.7;

    /** Smoothing factor of both means, which average over some 30 requests. */
    private static final double SMOOTHING = 0.03;

    /** Output length assumed before any caller has stated an estimate. */
    private static final double DEFAULT_TOKENS = 1_000;

    /** Lower bound of the estimate, unless the caller's limit is lower. */
    private static final int MIN_TOKENS = 64;

    /** Prior for the standard deviation of the logarithm of the error of callers' estimates. */
    private static final double STATED_LOG_DEVIATION = 0.38;

    /** Prior for the same of the mean, which is expected where a caller states no estimate. */
    private static final double UNSTATED_LOG_DEVIATION = 0.8;

    private final LengthErrorHistory mStatedErrors = new LengthErrorHistory(STATED_LOG_DEVIATION);
    private final LengthErrorHistory mUnstatedErrors =
            new LengthErrorHistory(UNSTATED_LOG_DEVIATION);
    private double mLogMean;
    private double mMeanRequestTokens;

    /**
     * Output length as stated by the caller.
     *
     * @param expectedTokens the caller's estimate; 0 if it states none
     * @param maxTokens the caller's limit; 0 if it states none
     */
    public record StatedLength(int expectedTokens, int maxTokens) {}

    /**
     * Adds the stated estimate of a new request to the mean; ignored if there is none.
     *
     * @param statedLength what the caller states
     */
    public synchronized void observe(StatedLength statedLength) {
        if (statedLength.expectedTokens() > 0) {
            double expected = Math.log(statedLength.expectedTokens());
            double mean = mLogMean == 0 ? expected : mLogMean;
            mLogMean = mean + SMOOTHING * (expected - mean);
        }
    }

    /**
     * Returns the median of the predicted output length.
     *
     * @param statedLength what the caller states
     * @return tokens
     */
    public int expect(StatedLength statedLength) {
        return bounded(blended(statedLength), statedLength);
    }

    /**
     * Returns the output tokens for which to reserve memory.
     *
     * @param statedLength what the caller states
     * @return tokens
     */
    public int reserve(StatedLength statedLength) {
        return bounded(RESERVE_FACTOR * blended(statedLength), statedLength);
    }

    /**
     * Records the length of an output that its engine has ended.
     *
     * @param statedLength what the caller stated
     * @param actualTokens the length of the whole output
     */
    public synchronized void observeOutput(StatedLength statedLength, int actualTokens) {
        if (actualTokens > 0) {
            errors(statedLength).observe(actualTokens / base(statedLength));
        }
    }

    /**
     * Returns what is known of the length of an output.
     *
     * @param statedLength what the caller states
     * @param receivedTokens the tokens that the caller has already
     * @return the forecast
     */
    public synchronized OutputForecast forecast(StatedLength statedLength, int receivedTokens) {
        int max = statedLength.maxTokens() > 0 ? statedLength.maxTokens() : Integer.MAX_VALUE;
        LengthErrors errors = errors(statedLength).errors();
        return new OutputForecast(base(statedLength), receivedTokens, max, errors);
    }

    private LengthErrorHistory errors(StatedLength statedLength) {
        return statedLength.expectedTokens() > 0 ? mStatedErrors : mUnstatedErrors;
    }

    /** Returns the length in tokens to which errors relate. */
    private double base(StatedLength statedLength) {
        return statedLength.expectedTokens() > 0
                ? statedLength.expectedTokens()
                : expect(statedLength);
    }

    /**
     * Returns the size of a request relative to the mean of all, after adding the request to that
     * mean.
     *
     * @param requestTokens tokens of the prompt and of the expected output
     * @return ratio of the request's size to the mean
     */
    public synchronized double relativeSize(int requestTokens) {
        mMeanRequestTokens =
                mMeanRequestTokens == 0
                        ? requestTokens
                        : mMeanRequestTokens + SMOOTHING * (requestTokens - mMeanRequestTokens);
        return requestTokens / mMeanRequestTokens;
    }

    private static int bounded(double tokens, StatedLength statedLength) {
        int max = statedLength.maxTokens() > 0 ? statedLength.maxTokens() : Integer.MAX_VALUE;
        return (int) Math.clamp(tokens, Math.min(MIN_TOKENS, max), max);
    }

    private synchronized double blended(StatedLength statedLength) {
        double mean = mLogMean == 0 ? Math.log(DEFAULT_TOKENS) : mLogMean;
        double expected =
                statedLength.expectedTokens() > 0 ? Math.log(statedLength.expectedTokens()) : mean;
        return Math.exp(OWN_WEIGHT * expected + (1 - OWN_WEIGHT) * mean);
    }
}
