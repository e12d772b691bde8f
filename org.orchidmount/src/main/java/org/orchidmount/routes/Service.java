/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routes;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * A group of like upstreams. Immutable.
 *
 * @param name the name
 * @param engine set for services of model engines
 * @param maxConnections how many connections one upstream accepts from all callers together, at
 *     least 1; nothing if that is not known
 */
public record Service(String name, Optional<Engine> engine, OptionalInt maxConnections) {
    /** Creates a service whose upstreams accept any number of connections. */
    public Service(String name, Optional<Engine> engine) {
        this(name, engine, OptionalInt.empty());
    }

    /**
     * What the engines of a service have in common.
     *
     * @param memoryTokens the tokens that fit into memory
     * @param eventTokens the tokens that one event of a stream holds
     */
    public record Engine(long memoryTokens, int eventTokens) {}
}
