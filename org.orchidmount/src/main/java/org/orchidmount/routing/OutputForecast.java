/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

/**
 * What is known of the length of one output. Immutable.
 *
 * @param expectedTokens the expected length of the whole output in tokens
 * @param receivedTokens the tokens that its caller has already
 * @param maxTokens the length that it does not exceed, in tokens
 * @param errors how far lengths were from what was expected
 */
public record OutputForecast(
        double expectedTokens, double receivedTokens, double maxTokens, LengthErrors errors) {
    /**
     * Returns the probability that more tokens follow than given. What exceeds every observed error
     * already is taken to reach its limit.
     *
     * @param tokens number of tokens after those received
     * @return from 0 to 1
     */
    public double probabilityOfMore(double tokens) {
        double length = receivedTokens + tokens;
        if (length >= maxTokens) {
            return 0;
        }
        if (expectedTokens <= 0) {
            return tokens < 0 ? 1 : 0;
        }
        double longEnough =
                receivedTokens > 0 ? errors.probabilityBeyond(receivedTokens / expectedTokens) : 1;
        return longEnough > 0 ? errors.probabilityBeyond(length / expectedTokens) / longEnough : 1;
    }
}
