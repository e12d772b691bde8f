/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.table;

/**
 * The largest values that fields of rows may have. All are far above what a site needs, and low
 * enough that sums over all rows of a table do not overflow. Stateless.
 */
final class RowLimits {
    /** Relative weight of accounts, classes and upstreams. */
    static final int MAX_WEIGHT = 1_000;

    /** Requests that run or wait at a time, and requests a second. */
    static final int MAX_REQUESTS = 1_000_000;

    /** Milliseconds of any wait or target: one hour. */
    static final long MAX_MILLIS = 3_600_000;

    /** Rank of a class; 0 comes first. */
    static final int MAX_PRIORITY = 9;

    /** Bytes of KV cache that one token takes: 1 GiB. */
    static final long MAX_KV_BYTES_PER_TOKEN = 1L << 30;

    /** Tokens of a prompt or an output. */
    static final int MAX_TOKENS = 10_000_000;

    /** Characters of a path prefix. */
    static final int MAX_PATH_LENGTH = 200;

    /** Bytes of a body that is passed on in parts: 1 GiB. */
    static final long MAX_BODY_BYTES = 1L << 30;

    /** TCP port. */
    static final int MAX_PORT = 65_535;

    /** Bytes of an engine's memory, and bytes a second of its link: 1 PiB. */
    static final long MAX_ENGINE_BYTES = 1L << 50;

    /** Tokens that an engine prefills in a second. */
    static final int MAX_TOKENS_PER_SECOND = 100_000_000;

    private RowLimits() {}
}
