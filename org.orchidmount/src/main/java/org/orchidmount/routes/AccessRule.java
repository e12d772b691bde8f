/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routes;

import java.util.Optional;

/**
 * Whether a request may be served, by the key that it shows. Pure.
 *
 * <p>A table with accounts asks every request for a key, but on public routes. There a key that is
 * known still tells whose request it is, and one that is not known does no harm.
 */
public final class AccessRule {
    private AccessRule() {}

    /** Whether a request may be served, and for whom. */
    public sealed interface Access {
        /**
         * It may.
         *
         * @param account the account of its key; nothing if it shows none that is known
         * @param isByAccounts whether the table has accounts, so that keys mean something
         */
        record Allowed(Optional<ClientAccount> account, boolean isByAccounts) implements Access {}

        /** It shows no key and its route asks for one. */
        record NoKey() implements Access {}

        /** No account has the key that it shows. */
        record UnknownKey() implements Access {}
    }

    /**
     * Judges a request.
     *
     * @param accounts the accounts of the table in force
     * @param isPublic whether its route is served without a key
     * @param key the key that it shows, if any
     * @return whether it may be served
     */
    public static Access judge(ClientAccounts accounts, boolean isPublic, Optional<String> key) {
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
