/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routes;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * A group of interchangeable upstreams. Immutable.
 *
 * @param name name of the service
 * @param engine properties of the engines; empty if the upstreams are no model engines
 * @param maxConnections maximum number of connections that one upstream accepts from all callers
 *     together, at least 1; empty if unknown
 */
public record Service(String name, Optional<Engine> engine, OptionalInt maxConnections) {
    /** Creates a service whose upstreams accept any number of connections. */
    public Service(String name, Optional<Engine> engine) {
        this(name, engine, OptionalInt.empty());
    }

    /**
     * Properties that all engines of a service share.
     *
     * @param kvCacheTokens number of tokens that fit into the KV cache of one engine
     * @param tokensPerEvent number of tokens in one event of a stream
     * @param slots number of requests that one engine runs concurrently; 0 if unknown
     */
    public record Engine(long kvCacheTokens, int tokensPerEvent, int slots) {
        /** Creates the properties of engines whose number of slots is unknown. */
        public Engine(long kvCacheTokens, int tokensPerEvent) {
            this(kvCacheTokens, tokensPerEvent, 0);
        }
    }
}
