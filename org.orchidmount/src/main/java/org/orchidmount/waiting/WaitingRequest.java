/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.waiting;

/**
 * A request that waits for memory of a decode engine, as announced by its entry. Immutable.
 *
 * @param id request id, unique within the site
 * @param service name of the service
 * @param account name of the client account; empty if none
 * @param urgency rank of urgency within the service, 0 being the most urgent
 * @param promptTokens length of the prompt, plus the memory that the request must leave free
 * @param expectedTokens predicted number of output tokens
 * @param waitedMillis time since the request arrived
 * @param remainingMillis time until it must find room or is refused
 * @param ended whether the request no longer waits
 */
public record WaitingRequest(
        String id,
        String service,
        String account,
        int urgency,
        int promptTokens,
        int expectedTokens,
        long waitedMillis,
        long remainingMillis,
        boolean ended) {}
