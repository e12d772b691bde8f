/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.orchidmount.routes.ClientAccount;
import org.orchidmount.routes.Route;

/**
 * A request as it is sent to upstreams, independent of how it was received. The headers and the
 * body must not be modified.
 *
 * @param id the id by which the caller knows the request
 * @param route the route of the request
 * @param account the client account that the request counts towards, if any
 * @param method the HTTP method
 * @param pathAndQuery the path and the query as they were sent
 * @param headers the header fields to forward
 * @param body the complete body
 * @param endNanos the monotonic time by which the request must be answered
 * @param callerEndNanos the monotonic time until which the caller waits, at least {@code endNanos}
 * @param urgency the rank of urgency within the service of the request, 0 being the most urgent;
 *     empty if urgency is not in force for the service
 * @param prompt the properties of the prompt; present for requests to model engines only
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
        OptionalInt urgency,
        Optional<Prompt> prompt) {
    /** Creates a request to a service for which urgency is not in force. */
    public RelayRequest(
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
        this(
                id,
                route,
                account,
                method,
                pathAndQuery,
                headers,
                body,
                endNanos,
                callerEndNanos,
                OptionalInt.empty(),
                prompt);
    }

    /**
     * Properties of a request to a model engine that are known before it runs.
     *
     * @param tokens the length of the prompt in tokens
     * @param maxOutputTokens the maximum length of the output in tokens; 0 if the caller states
     *     none
     * @param expectedOutputTokens the length of the output in tokens that the caller expects; 0 if
     *     it states none
     * @param lastEventId the id of the last event that the caller has received; 0 for none
     * @param continuedRequestId the id of the request that brought the first event of the stream
     *     that this one continues; empty if the caller states none
     * @param sharedParts the ids of the parts of the prompt that other prompts may share, in their
     *     order: all but the last
     */
    public record Prompt(
            int tokens,
            int maxOutputTokens,
            int expectedOutputTokens,
            long lastEventId,
            Optional<String> continuedRequestId,
            List<String> sharedParts) {
        /** Creates the properties of a prompt. */
        public Prompt {
            sharedParts = List.copyOf(sharedParts);
        }

        /** Creates the properties of a request that names no other one and shares no parts. */
        public Prompt(int tokens, int maxOutputTokens, int expectedOutputTokens, long lastEventId) {
            this(
                    tokens,
                    maxOutputTokens,
                    expectedOutputTokens,
                    lastEventId,
                    Optional.empty(),
                    List.of());
        }

        /**
         * Returns whether the request continues a stream of which the caller has received events.
         *
         * @return true if it does
         */
        public boolean isContinuation() {
            return lastEventId > 0;
        }
    }

    /**
     * Returns the time left until the request must be answered.
     *
     * @param nowNanos the current monotonic time
     * @return at least 1 ns, so that it can serve as a timeout
     */
    Duration timeLeft(long nowNanos) {
        return Duration.ofNanos(Math.max(1, endNanos - nowNanos));
    }
}
