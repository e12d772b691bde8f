/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

/**
 * The location of the KV cache of a prompt that a prefill engine has prefilled.
 *
 * @param address the host and port of the engine that holds it
 * @param handle the handle of the KV cache at that engine
 */
public record KvCacheRef(String address, String handle) {}
