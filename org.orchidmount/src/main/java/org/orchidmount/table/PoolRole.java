/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.table;

/** What the upstreams of a pool do. */
public enum PoolRole {
    /** Engines that process prompts and export their KV cache. */
    PREFILL,
    /** Engines that import KV cache and generate tokens. */
    DECODE,
    /** Instances of a plain service. */
    PLAIN
}
