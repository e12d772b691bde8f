/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.time.Duration;
import java.util.Optional;
import org.orchidmount.routes.ClientAccount;
import org.orchidmount.routes.Route;

/**
 * A request as it is handed to upstreams, independent of how it came. The headers and the body are
 * not to be changed.
 *
 * @param id the caller's identity of the request
 * @param route its route
 * @param account the client account that it counts for, if any
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
        Optional<ClientAccount> account,
        HttpString method,
        String pathAndQuery,
        HeaderMap headers,
        byte[] body,
        long endNanos,
        long callerEndNanos,
        Optional<Prompt> prompt) {
    /**
     * What is known of a request to a model engine before it runs.
     *
     * @param tokens the tokens of the prompt
     * @param maxOutputTokens the most tokens of the output; 0 if the caller states none
     * @param expectedOutputTokens what the caller expects the output to have; 0 if it states none
     * @param afterEvent the last event that the caller has; 0 for none
     */
    public record Prompt(
            int tokens, int maxOutputTokens, int expectedOutputTokens, long afterEvent) {}

    /**
     * Returns the time until the request must have its final answer.
     *
     * @param nowNanos the present monotonic time
     * @return at least 1 ns, so that it can serve as a timeout
     */
    Duration left(long nowNanos) {
        return Duration.ofNanos(Math.max(1, endNanos - nowNanos));
    }
}
