/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routes;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.orchidmount.internal.keys.KeyHash;

/**
 * The client accounts of a table, by the hashes of their keys. Immutable and thread-safe.
 *
 * <p>Invariants: a key belongs to one account; no key is kept.
 */
public final class ClientAccounts {
    /** A table without accounts: requests need no key. */
    public static final ClientAccounts NONE = new Builder().build();

    private final Map<String, ClientAccount> mByKeyHash;
    private final boolean mIsEmpty;

    private ClientAccounts(Builder builder) {
        mByKeyHash = Map.copyOf(builder.mByKeyHash);
        mIsEmpty = builder.mNames.isEmpty();
    }

    /**
     * Tells whether there are no accounts, so that requests need no key.
     *
     * @return true if there are none
     */
    public boolean isEmpty() {
        return mIsEmpty;
    }

    /**
     * Finds the account of a key.
     *
     * @param key the key as the caller sent it
     * @return the account, or nothing if no account has the key
     */
    public Optional<ClientAccount> find(String key) {
        return Optional.ofNullable(mByKeyHash.get(KeyHash.of(key)));
    }

    /** Collects the accounts of a table. Used by one thread. */
    public static final class Builder {
        private final Map<String, ClientAccount> mByKeyHash = new HashMap<>();
        private final Set<String> mNames = new HashSet<>();

        /**
         * Adds an account. It may have no key, and then nobody can use it.
         *
         * @param account the account
         * @param keys its keys
         * @return this
         * @throws IllegalArgumentException if another account has its name or one of its keys; the
         *     message names the accounts and no key
         */
        public Builder add(ClientAccount account, Iterable<String> keys) {
            if (!mNames.add(account.name())) {
                throw new IllegalArgumentException(
                        "account " + account.name() + " stands in the table twice");
            }
            for (String key : keys) {
                ClientAccount other = mByKeyHash.put(KeyHash.of(key), account);
                if (other != null && !other.name().equals(account.name())) {
                    throw new IllegalArgumentException(
                            "accounts " + other.name() + " and " + account.name() + " share a key");
                }
            }
            return this;
        }

        /**
         * Ends the collection.
         *
         * @return the accounts
         */
        public ClientAccounts build() {
            return new ClientAccounts(this);
        }
    }
}
