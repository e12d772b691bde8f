/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routes;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * A client account of a route table. Its keys are stored in {@link ClientAccounts}. Immutable.
 *
 * @param name name of the account, which is also sent to upstreams
 * @param priority priority of the account's requests, 0 being the most urgent, which takes
 *     precedence over that of the route; empty if the priority of the route applies
 * @param limit usage limit over all instances together; empty if unlimited
 */
public record ClientAccount(String name, OptionalInt priority, Optional<Limit> limit) {
    /** Creates an account to which the priorities of routes apply. */
    public ClientAccount(String name, Optional<Limit> limit) {
        this(name, OptionalInt.empty(), limit);
    }

    /**
     * The usage limit of an account.
     *
     * @param unit what the limit counts
     * @param ratePerSecond units per second, above 0
     * @param burst units that may be used at once beyond the rate, above 0
     * @param defaultTokens tokens charged for a request that does not state its tokens; relevant
     *     only if tokens are counted
     */
    public record Limit(Unit unit, double ratePerSecond, double burst, long defaultTokens) {
        /**
         * Returns the number of units that a request is charged.
         *
         * @param statedTokens tokens that the request states; empty if it states none
         * @return units, at least 0
         */
        public long units(OptionalLong statedTokens) {
            return unit == Unit.REQUESTS ? 1 : statedTokens.orElse(defaultTokens);
        }
    }

    /** What a limit counts. */
    public enum Unit {
        /** Each request counts as one unit. */
        REQUESTS,
        /** Each token of the prompt and of the maximum output counts as one unit. */
        TOKENS
    }
}
