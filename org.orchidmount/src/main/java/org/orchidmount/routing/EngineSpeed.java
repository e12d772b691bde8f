/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

/**
 * Observed speed of the engines of one service, as used by every rule about engines. Immutable.
 *
 * @param prefillMillisPerToken time that a prefill engine takes for each token of its queue
 * @param decodePrefillMillisPerToken the same for a decode engine, which interleaves prefill with
 *     token generation
 * @param outputTokensPerMilli tokens generated per millisecond for one output
 * @param firstTokenMillis time from the choice of a decode engine to the first token
 * @param outputMillis time from the first token of an output to its last
 */
public record EngineSpeed(
        double prefillMillisPerToken,
        double decodePrefillMillisPerToken,
        double outputTokensPerMilli,
        double firstTokenMillis,
        double outputMillis) {
    /**
     * Fraction of the time to first token that a request counts as work in addition to its prompt.
     */
    private static final double FIRST_TOKEN_WORK_SHARE = 0.25;

    /**
     * Returns the time that a prefill engine of nominal speed takes for a prompt.
     *
     * @param promptTokens tokens to prefill
     * @return milliseconds
     */
    public double prefillEngineMillis(int promptTokens) {
        return promptTokens * prefillMillisPerToken;
    }

    /**
     * Returns the time that a decode engine of nominal speed takes to prefill a prompt.
     *
     * @param promptTokens tokens to prefill
     * @return milliseconds
     */
    public double decodeEngineMillis(int promptTokens) {
        return promptTokens * decodePrefillMillisPerToken;
    }

    /**
     * Returns the work that a whole request counts as on a decode engine.
     *
     * @param promptTokens length of the prompt
     * @return milliseconds
     */
    public double requestMillis(int promptTokens) {
        return decodeEngineMillis(promptTokens) + FIRST_TOKEN_WORK_SHARE * firstTokenMillis;
    }

    /**
     * Returns the same speed with another output speed.
     *
     * @param tokensPerMilli tokens generated per millisecond for one output
     * @return the changed speed
     */
    public EngineSpeed withOutputPace(double tokensPerMilli) {
        return new EngineSpeed(
                prefillMillisPerToken,
                decodePrefillMillisPerToken,
                tokensPerMilli,
                firstTokenMillis,
                outputMillis);
    }

    /**
     * Returns the speed of an engine that is slower or faster than the mean of its service.
     *
     * @param slowness the factor by which it takes longer
     * @return the scaled speed
     */
    public EngineSpeed slowedBy(double slowness) {
        return slowness == 1
                ? this
                : new EngineSpeed(
                        prefillMillisPerToken * slowness,
                        decodePrefillMillisPerToken * slowness,
                        outputTokensPerMilli / slowness,
                        firstTokenMillis * slowness,
                        outputMillis * slowness);
    }
}
