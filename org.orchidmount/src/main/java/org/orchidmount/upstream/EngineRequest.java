/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.upstream;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.orchidmount.internal.http.Peer;

/**
 * A request as it is sent to an engine.
 *
 * @param engine the engine
 * @param id the id under which the engine knows the request; another for each attempt
 * @param path the path, for completions or chat completions
 * @param body the caller's body; not changed
 * @param priority the engine priority, lower first
 */
public record EngineRequest(Peer engine, String id, String path, ObjectNode body, int priority) {}
