/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.pacing;

import org.orchidmount.membership.Incarnation;

/** Names the buckets of upstreams. Stateless. */
public final class QuotaKeys {
    /** Not part of the name of any client account, so that no bucket is shared with one. */
    private static final String PREFIX = "upstream\u0000";

    private QuotaKeys() {}

    /**
     * Names the bucket of an incarnation of an upstream.
     *
     * @param upstream the incarnation
     * @return the key
     */
    public static String ofUpstream(Incarnation upstream) {
        return PREFIX + upstream;
    }
}
