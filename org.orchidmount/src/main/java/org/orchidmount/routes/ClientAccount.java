/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routes;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * A client account of a route table. Its keys stand in {@link ClientAccounts}. Immutable.
 *
 * @param name the name, by which upstreams know it too
 * @param limit what it may use over all instances; nothing if it has no limit
 */
public record ClientAccount(String name, Optional<Limit> limit) {
    /**
     * What an account may use.
     *
     * @param unit what is counted
     * @param ratePerSecond units a second, above 0
     * @param burst units at once beyond the rate, above 0
     * @param plainTokens the tokens that a request counts for that states none; of use if tokens
     *     are counted
     */
    public record Limit(Unit unit, double ratePerSecond, double burst, long plainTokens) {
        /**
         * Returns how much a request uses.
         *
         * @param statedTokens the tokens that the request states
         * @return units
         */
        public long units(OptionalLong statedTokens) {
            return unit == Unit.REQUESTS ? 1 : statedTokens.orElse(plainTokens);
        }
    }

    /** What a limit counts. */
    public enum Unit {
        /** Each request is one unit. */
        REQUESTS,
        /** Each token of the prompt and of the longest output is one unit. */
        TOKENS
    }
}
