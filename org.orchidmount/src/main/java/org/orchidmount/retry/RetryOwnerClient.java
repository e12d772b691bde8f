/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.retry;

import java.util.concurrent.CompletableFuture;

/** Client of the instance that grants retries. Implementations are thread-safe. */
@FunctionalInterface
public interface RetryOwnerClient {
    /**
     * Requests retries and reports requests.
     *
     * @param request the request
     * @return future answer, which may never be completed
     */
    CompletableFuture<RetryAnswer> request(RetryRequest request);
}
