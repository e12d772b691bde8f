/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.quota;

import java.util.concurrent.CompletableFuture;

/** Client of the instance that owns the buckets. Implementations are thread-safe. */
public interface QuotaOwnerClient {
    /**
     * Requests units from the owner. If the answer arrives after the future was completed by
     * someone else, the units are returned.
     *
     * @param request the request
     * @return future answer, which may never be completed
     */
    CompletableFuture<QuotaAnswer> requestUnits(QuotaRequest request);

    /**
     * Returns units that the owner granted and that were not used.
     *
     * @param key key of the bucket
     * @param units number of units
     */
    void refund(String key, long units);
}
