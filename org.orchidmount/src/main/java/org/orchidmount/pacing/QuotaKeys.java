/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.pacing;

import org.orchidmount.membership.Incarnation;

/** Keys of the quota buckets of upstreams. Stateless. */
public final class QuotaKeys {
    /** Cannot occur in the name of a client account, so no bucket is shared with one. */
    private static final String PREFIX = "upstream\u0000";

    private QuotaKeys() {}

    /**
     * Returns the key of the bucket of an incarnation.
     *
     * @param upstream incarnation of the upstream
     * @return the key
     */
    public static String ofUpstream(Incarnation upstream) {
        return PREFIX + upstream;
    }
}
