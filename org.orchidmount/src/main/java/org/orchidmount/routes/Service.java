/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routes;

import java.util.Optional;

/**
 * A group of like upstreams. Immutable.
 *
 * @param name the name
 * @param engine set for services of model engines
 */
public record Service(String name, Optional<Engine> engine) {
    /**
     * What the engines of a service have in common.
     *
     * @param memoryTokens the tokens that fit into memory
     * @param eventTokens the tokens that one event of a stream holds
     */
    public record Engine(long memoryTokens, int eventTokens) {}
}
