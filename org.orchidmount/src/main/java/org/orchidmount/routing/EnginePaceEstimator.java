/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

/**
 * Learns the {@link EnginePace} of one service from what passes through this instance.
 *
 * <p>It starts from a prior that counts as one observation; some 15 observations are remembered.
 * The figures are means over all engines of the service: a few slow ones hardly move them, and show
 * in {@link Slowness} instead. A prefill takes longer than it should where others queue whose
 * announcements are not known here, and never less, so that a slow one counts for less.
 * Thread-safe.
 */
public final class EnginePaceEstimator {
    /** Milliseconds for a token of a prompt before any was seen: 50 tokens a ms. */
    private static final double PRIOR_PREFILL_MILLIS_PER_TOKEN = 0.02;

    /** A decode engine prefills at half the pace until seen: the engines' protocol says so. */
    private static final double DECODE_PREFILL_FACTOR = 2;

    /** Tokens that an output grows by in a ms before any was seen: 4,000 in 3 s. */
    private static final double PRIOR_TOKENS_PER_MILLI = 1.3;

    /** Milliseconds to the first token before any was seen: a prompt of 5,000 and half more. */
    private static final double PRIOR_FIRST_TOKEN_MILLIS = 150;

    /** Milliseconds that an output lasts before any was seen: 4,000 tokens. */
    private static final double PRIOR_OUTPUT_MILLIS = 3_000;

    /** Weight of a prefill that took longer than the mean against one that took less. */
    private static final double LONGER_PREFILL_WEIGHT = 0.4;

    private final LogMean mPrefillMillisPerToken =
            new LogMean(PRIOR_PREFILL_MILLIS_PER_TOKEN, LONGER_PREFILL_WEIGHT);
    private final LogMean mDecodePrefillMillisPerToken =
            new LogMean(
                    DECODE_PREFILL_FACTOR * PRIOR_PREFILL_MILLIS_PER_TOKEN, LONGER_PREFILL_WEIGHT);
    private final LogMean mOutputTokensPerMilli = new LogMean(PRIOR_TOKENS_PER_MILLI, 1);
    private final LogMean mFirstTokenMillis = new LogMean(PRIOR_FIRST_TOKEN_MILLIS, 1);
    private final LogMean mOutputMillis = new LogMean(PRIOR_OUTPUT_MILLIS, 1);

    private volatile EnginePace mPace = learned();

    /**
     * Returns what is known now.
     *
     * @return the pace
     */
    public EnginePace pace() {
        return mPace;
    }

    private EnginePace learned() {
        double prefill = mPrefillMillisPerToken.value();
        double decodePrefill =
                mDecodePrefillMillisPerToken.isObserved()
                        ? mDecodePrefillMillisPerToken.value()
                        : DECODE_PREFILL_FACTOR * prefill;
        return new EnginePace(
                prefill,
                decodePrefill,
                mOutputTokensPerMilli.value(),
                mFirstTokenMillis.value(),
                mOutputMillis.value());
    }

    /**
     * Learns from a prompt that a prefill engine has prefilled.
     *
     * @param queueTokens its tokens and those that the engine had to prefill before
     * @param tookMillis the time it took
     */
    public synchronized void observePrefill(int queueTokens, double tookMillis) {
        observe(mPrefillMillisPerToken, tookMillis, queueTokens);
    }

    /**
     * Learns from a prompt that a decode engine has prefilled itself.
     *
     * @param queueTokens its tokens and those that the engine had to prefill before
     * @param tookMillis the time to its first token
     */
    public synchronized void observeDecodePrefill(int queueTokens, double tookMillis) {
        observe(mDecodePrefillMillisPerToken, tookMillis, queueTokens);
    }

    /**
     * Learns from the first token of an output.
     *
     * @param tookMillis the time since its engine was chosen
     */
    public synchronized void observeFirstToken(double tookMillis) {
        observe(mFirstTokenMillis, tookMillis, 1);
    }

    /**
     * Learns from a whole output.
     *
     * @param tokens the tokens after the first
     * @param tookMillis the time between its first token and its last
     */
    public synchronized void observeOutput(double tokens, double tookMillis) {
        observe(mOutputTokensPerMilli, tokens, tookMillis);
        observe(mOutputMillis, tookMillis, 1);
    }

    private void observe(LogMean mean, double dividend, double divisor) {
        if (dividend > 0 && divisor > 0) {
            mean.observe(dividend / divisor);
            mPace = learned();
        }
    }
}
