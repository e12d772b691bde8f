/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

/**
 * Where the KV cache of a prompt is that a prefill engine has prefilled.
 *
 * @param address the host and port of the engine that holds it
 * @param handle its name there
 */
public record KvCacheRef(String address, String handle) {}
