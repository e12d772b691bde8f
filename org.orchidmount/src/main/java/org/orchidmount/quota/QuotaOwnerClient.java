/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.quota;

import java.util.concurrent.CompletableFuture;

/** Reaches the instance that owns the buckets. Implementations are thread-safe. */
public interface QuotaOwnerClient {
    /**
     * Asks the owner for units. If the answer comes after the future was completed otherwise, the
     * units are given back.
     *
     * @param ask what is to be used
     * @return the answer; it may never come
     */
    CompletableFuture<QuotaAnswer> askOwner(QuotaAsk ask);

    /**
     * Gives units back that the owner granted and that were not used.
     *
     * @param key what is limited
     * @param units how many
     */
    void giveBack(String key, long units);
}
