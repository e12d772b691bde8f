/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.util.Optional;
import org.orchidmount.routes.Route;

/**
 * A request as it is handed to upstreams, independent of how it came. The headers and the body are
 * not to be changed.
 *
 * @param id the caller's identity of the request
 * @param route its route
 * @param method the HTTP method
 * @param pathAndQuery the path and the query as they were sent
 * @param headers the fields that are passed on
 * @param body the whole body
 * @param endNanos the monotonic time at which the request must have its final answer
 * @param callerEndNanos the monotonic time until which the caller waits, at least {@code endNanos}
 * @param prompt set for requests to model engines
 */
public record RelayRequest(
        String id,
        Route route,
        HttpString method,
        String pathAndQuery,
        HeaderMap headers,
        byte[] body,
        long endNanos,
        long callerEndNanos,
        Optional<Prompt> prompt) {
    /**
     * The size of a request to a model engine.
     *
     * @param tokens the tokens of the prompt
     * @param answerTokens the most tokens of the answer
     * @param expectedTokens what the caller expects the answer to have; 0 if it does not say
     * @param afterEvent the last event that the caller has; 0 for none
     */
    public record Prompt(int tokens, int answerTokens, int expectedTokens, long afterEvent) {}
}
