/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routes;

import java.time.Duration;
import java.util.Optional;

/**
 * A group of like upstreams. Immutable.
 *
 * @param name the name
 * @param maxConnections the most connections that an upstream takes from all callers together
 * @param engine set for services of model engines
 */
public record Service(String name, int maxConnections, Optional<Engine> engine) {
    /**
     * What the engines of a service have in common.
     *
     * @param slots the requests that run at once
     * @param memoryTokens the tokens that fit into memory
     * @param handleLife how long the result of a prefill is kept
     * @param eventTokens the tokens that one event of a stream holds
     */
    public record Engine(int slots, long memoryTokens, Duration handleLife, int eventTokens) {}
}
