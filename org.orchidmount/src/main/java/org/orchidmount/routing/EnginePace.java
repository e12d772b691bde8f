/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

/**
 * How fast the engines of one service have shown themselves to be, as every rule about engines
 * takes it. Immutable.
 *
 * @param prefillMillisPerToken what a prefill engine takes for each token of its queue
 * @param decodePrefillMillisPerToken the same for a decode engine, which prefills between the
 *     tokens of its outputs
 * @param outputTokensPerMilli tokens that one output grows by in a millisecond
 * @param firstTokenMillis from the choice of a decode engine to the first token
 * @param outputMillis from the first token of an output to its last
 */
public record EnginePace(
        double prefillMillisPerToken,
        double decodePrefillMillisPerToken,
        double outputTokensPerMilli,
        double firstTokenMillis,
        double outputMillis) {
    /** Share of the time to the first token that a request counts as work besides its prompt. */
    private static final double FIRST_TOKEN_WORK_SHARE = 0.25;

    /**
     * Returns the time a prefill engine of ordinary speed needs.
     *
     * @param promptTokens the tokens to prefill
     * @return milliseconds
     */
    public double prefillEngineMillis(int promptTokens) {
        return promptTokens * prefillMillisPerToken;
    }

    /**
     * Returns the time a decode engine of ordinary speed needs to prefill.
     *
     * @param promptTokens the tokens to prefill
     * @return milliseconds
     */
    public double decodeEngineMillis(int promptTokens) {
        return promptTokens * decodePrefillMillisPerToken;
    }

    /**
     * Returns the work that a whole request is counted as at a decode engine.
     *
     * @param promptTokens the tokens of the prompt
     * @return milliseconds
     */
    public double requestMillis(int promptTokens) {
        return decodeEngineMillis(promptTokens) + FIRST_TOKEN_WORK_SHARE * firstTokenMillis;
    }
}
