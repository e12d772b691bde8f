/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.load;

/**
 * One answer that an engine makes, or one prompt that it reads, as the instance that placed it
 * tells the others. Immutable.
 *
 * @param upstreamId the engine
 * @param requestId the request and which of its placements this is
 * @param promptTokens the tokens in memory before the first one is made
 * @param expectedTokens the median of the tokens that will be made
 * @param mostTokens the most tokens that can be made
 * @param madeTokens the tokens made when this was told
 * @param ended true once the engine no longer works on it
 */
public record EngineRun(
        String upstreamId,
        String requestId,
        int promptTokens,
        int expectedTokens,
        int mostTokens,
        int madeTokens,
        boolean ended) {
    /**
     * Describes the reading of a prompt.
     *
     * @param requestId the request
     * @param promptTokens its tokens
     * @return the run, not yet placed
     */
    public static EngineRun reading(String requestId, int promptTokens) {
        return new EngineRun("", requestId, promptTokens, 0, 0, 0, false);
    }

    /**
     * Tells whether only the prompt is read.
     *
     * @return true if nothing is made
     */
    public boolean isReading() {
        return mostTokens == 0;
    }

    /**
     * Returns the news that the engine no longer works on the request.
     *
     * @return the run, ended
     */
    public EngineRun end() {
        return new EngineRun(
                upstreamId, requestId, promptTokens, expectedTokens, mostTokens, madeTokens, true);
    }

    /**
     * Returns the same run as it is told later.
     *
     * @param made the tokens made by then
     * @return the run
     */
    public EngineRun withMade(int made) {
        return new EngineRun(
                upstreamId, requestId, promptTokens, expectedTokens, mostTokens, made, ended);
    }

    /**
     * Returns a placement of the request.
     *
     * @param engine the engine's identity
     * @param placement the number of the placement
     * @return the run there
     */
    public EngineRun at(String engine, int placement) {
        return new EngineRun(
                engine,
                requestId + "/" + placement,
                promptTokens,
                expectedTokens,
                mostTokens,
                madeTokens,
                ended);
    }
}
