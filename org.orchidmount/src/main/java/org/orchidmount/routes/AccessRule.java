/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routes;

import java.util.Optional;

/**
 * Decides by the key of a request whether it may be served. Stateless.
 *
 * <p>If the route table has accounts, every request must carry a key, except on public routes.
 * There, a known key still identifies the account of the request, and an unknown key is ignored.
 */
public final class AccessRule {
    private AccessRule() {}

    /** The result of an access check. */
    public sealed interface Access {
        /**
         * The request may be served.
         *
         * @param account account of the key; empty if the request has no known key
         * @param hasAccounts whether the table has accounts, so that keys are evaluated
         */
        record Allowed(Optional<ClientAccount> account, boolean hasAccounts) implements Access {}

        /** The request has no key, but its route requires one. */
        record NoKey() implements Access {}

        /** The key of the request belongs to no account. */
        record UnknownKey() implements Access {}
    }

    /**
     * Checks whether a request may be served.
     *
     * @param accounts accounts of the route table in force
     * @param isPublic whether the route of the request is served without a key
     * @param key key of the request; empty if it has none
     * @return the result of the check
     */
    public static Access check(ClientAccounts accounts, boolean isPublic, Optional<String> key) {
        if (accounts.isEmpty()) {
            return new Access.Allowed(Optional.empty(), false);
        }
        Optional<ClientAccount> account = key.flatMap(accounts::find);
        if (isPublic || account.isPresent()) {
            return new Access.Allowed(account, true);
        }
        return key.isPresent() ? new Access.UnknownKey() : new Access.NoKey();
    }
}
