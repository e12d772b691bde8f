/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routes;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.orchidmount.internal.keys.KeyHash;

/**
 * The client accounts of a route table, indexed by the hashes of their keys. Immutable and
 * thread-safe.
 *
 * <p>Invariants: a key belongs to at most one account; keys are stored only as hashes.
 */
public final class ClientAccounts {
    /** No accounts, so that requests need no key. */
    public static final ClientAccounts NONE = new Builder().build();

    private final Map<String, ClientAccount> mByKeyHash;
    private final boolean mIsEmpty;

    private ClientAccounts(Builder builder) {
        mByKeyHash = Map.copyOf(builder.mByKeyHash);
        mIsEmpty = builder.mNames.isEmpty();
    }

    /**
     * Returns whether there are no accounts, in which case requests need no key.
     *
     * @return true if there are no accounts
     */
    public boolean isEmpty() {
        return mIsEmpty;
    }

    /**
     * Returns the account that a key belongs to.
     *
     * @param key key as sent by the caller
     * @return the account; empty if the key belongs to none
     */
    public Optional<ClientAccount> find(String key) {
        return Optional.ofNullable(mByKeyHash.get(KeyHash.of(key)));
    }

    /**
     * Returns the accounts that requests can use, that is, those that have a key.
     *
     * @return the accounts, in no particular order
     */
    List<ClientAccount> withKeys() {
        return mByKeyHash.values().stream().distinct().toList();
    }

    /** Builds the accounts of a route table. Not thread-safe. */
    public static final class Builder {
        private final Map<String, ClientAccount> mByKeyHash = new HashMap<>();
        private final Set<String> mNames = new HashSet<>();

        /**
         * Adds an account. An account without keys is valid, but no request can use it.
         *
         * @param account account to add
         * @param keys keys of the account, in plain text
         * @return this
         * @throws IllegalArgumentException if another account has the same name or one of the keys;
         *     the message names the accounts, but never a key
         */
        public Builder add(ClientAccount account, Iterable<String> keys) {
            if (!mNames.add(account.name())) {
                throw new IllegalArgumentException(
                        "account " + account.name() + " is defined twice");
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
         * Creates the immutable set of accounts.
         *
         * @return the accounts
         */
        public ClientAccounts build() {
            return new ClientAccounts(this);
        }
    }
}
