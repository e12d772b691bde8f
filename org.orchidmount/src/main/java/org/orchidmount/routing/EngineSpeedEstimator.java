/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import java.util.Optional;
import java.util.OptionalDouble;

/**
 * Estimates the {@link EngineSpeed} of one service from the requests that pass through this
 * instance.
 *
 * <p>The estimate starts from a prior that counts as one observation; some 15 observations are
 * remembered. The values are means over all engines of the service. A few slow engines hardly
 * change them and are reflected in {@link Slowness} instead. Sequences that are queued on an engine
 * but not known here make a prefill appear slower than it is, but never faster, so slow prefills
 * are given less weight. Thread-safe.
 */
public final class EngineSpeedEstimator {
    /** Prior for the prefill time per prompt token, in milliseconds: 50 tokens per ms. */
    private static final double PRIOR_PREFILL_MILLIS_PER_TOKEN = 0.02;

    /**
     * Ratio of the prefill time of a decode engine to that of a prefill engine, used until a
     * prefill on a decode engine has been observed. The protocol of the engines states half the
     * speed.
     */
    private static final double DECODE_PREFILL_FACTOR = 2;

    /** Prior for the tokens generated per millisecond for one output: 4,000 in 3 s. */
    private static final double PRIOR_TOKENS_PER_MILLI = 1.3;

    /**
     * Prior for the time to first token, in milliseconds: the prefill of 5,000 tokens and half as
     * much again.
     */
    private static final double PRIOR_FIRST_TOKEN_MILLIS = 150;

    /** Prior for the duration of an output, in milliseconds: 4,000 tokens. */
    private static final double PRIOR_OUTPUT_MILLIS = 3_000;

    /** Weight of a prefill slower than the mean, relative to one that is faster. */
    private static final double SLOWER_PREFILL_WEIGHT = 0.4;

    private final LogMean mPrefillMillisPerToken =
            new LogMean(PRIOR_PREFILL_MILLIS_PER_TOKEN, SLOWER_PREFILL_WEIGHT);
    private final LogMean mDecodePrefillMillisPerToken =
            new LogMean(
                    DECODE_PREFILL_FACTOR * PRIOR_PREFILL_MILLIS_PER_TOKEN, SLOWER_PREFILL_WEIGHT);
    private final LogMean mOutputTokensPerMilli = new LogMean(PRIOR_TOKENS_PER_MILLI, 1);
    private final LogMean mFirstTokenMillis = new LogMean(PRIOR_FIRST_TOKEN_MILLIS, 1);
    private final LogMean mOutputMillis = new LogMean(PRIOR_OUTPUT_MILLIS, 1);

    private volatile EngineSpeed mSpeed = learned();
    private final OutputPace mCompletePace = new OutputPace();
    private final OutputPace mPaceUnderWay = new OutputPace();

    /**
     * Returns the current estimate.
     *
     * @return the estimated speed; the prior before the first observation
     */
    public EngineSpeed speed() {
        return mSpeed;
    }

    /**
     * Returns the current estimate with the output speed as observed, without the prior: that of
     * complete outputs or, until one has been observed, that of outputs under way.
     *
     * @return the estimated speed; empty if no output has been observed
     */
    public Optional<EngineSpeed> measuredSpeed() {
        OptionalDouble complete = mCompletePace.tokensPerMilli();
        OptionalDouble pace = complete.isPresent() ? complete : mPaceUnderWay.tokensPerMilli();
        return pace.isPresent()
                ? Optional.of(mSpeed.withOutputPace(pace.getAsDouble()))
                : Optional.empty();
    }

    private EngineSpeed learned() {
        double prefill = mPrefillMillisPerToken.value();
        double decodePrefill =
                mDecodePrefillMillisPerToken.isObserved()
                        ? mDecodePrefillMillisPerToken.value()
                        : DECODE_PREFILL_FACTOR * prefill;
        return new EngineSpeed(
                prefill,
                decodePrefill,
                mOutputTokensPerMilli.value(),
                mFirstTokenMillis.value(),
                mOutputMillis.value());
    }

    /**
     * Records a prefill by a prefill engine.
     *
     * @param queueTokens tokens of the prompt and of the prefills queued before it
     * @param tookMillis time taken, including the wait in the queue
     */
    public synchronized void observePrefill(int queueTokens, double tookMillis) {
        observe(mPrefillMillisPerToken, tookMillis, queueTokens);
    }

    /**
     * Records a prefill by a decode engine.
     *
     * @param queueTokens tokens of the prompt and of the prefills queued before it
     * @param tookMillis time to the first token
     */
    public synchronized void observeDecodePrefill(int queueTokens, double tookMillis) {
        observe(mDecodePrefillMillisPerToken, tookMillis, queueTokens);
    }

    /**
     * Records the first token of an output.
     *
     * @param tookMillis time since the decode engine was chosen
     */
    public synchronized void observeFirstToken(double tookMillis) {
        observe(mFirstTokenMillis, tookMillis, 1);
    }

    /**
     * Records a complete output.
     *
     * @param tokens number of tokens after the first
     * @param tookMillis time from the first token to the last
     */
    public synchronized void observeOutput(double tokens, double tookMillis) {
        observe(mOutputTokensPerMilli, tokens, tookMillis);
        observe(mOutputMillis, tookMillis, 1);
        mCompletePace.observe(tokens, tookMillis);
    }

    /**
     * Records the progress of an output that has not ended.
     *
     * @param tokens number of tokens after the first so far
     * @param tookMillis time from the first token to the latest
     */
    public void observeOutputUnderWay(double tokens, double tookMillis) {
        mPaceUnderWay.observe(tokens, tookMillis);
    }

    private void observe(LogMean mean, double dividend, double divisor) {
        if (dividend > 0 && divisor > 0) {
            mean.observe(dividend / divisor);
            mSpeed = learned();
        }
    }
}
