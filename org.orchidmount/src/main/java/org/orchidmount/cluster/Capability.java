/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.util.EnumSet;
import java.util.Set;

/**
 * An optional feature of the cluster protocol that an instance supports beyond the base protocol.
 *
 * <p>Each instance lists its capabilities in its greeting and is sent only messages that it
 * supports, so that instances of different builds interoperate. Unknown bits are ignored.
 */
enum Capability {
    /**
     * Accepts crash records. An instance without it runs requests that others refuse as
     * quarantined.
     */
    CRASH_RECORDS(1),

    /**
     * Accepts the rate limits that upstreams state, and as a voter counts the requests sent to
     * them. With a voter that does not support it, each entry keeps to an equal share of a limit;
     * an entry that does not support it keeps to none.
     */
    UPSTREAM_LIMITS(2),

    /**
     * Accepts evidence about upstreams and waiting requests. An entry without it, or with voters
     * that do not support it, decides from its own observations.
     */
    SHARED_STATE(4),

    /**
     * As an entry, uses tunnels of other entries where it cannot reach upstreams; as a voter,
     * announces which entries open tunnels.
     */
    TUNNELS(8),

    /**
     * As a voter, holds the origins of streams and tells them to entries. An entry that is linked
     * to no voter with it continues only streams that began there.
     */
    STREAM_ORIGINS(16),

    /**
     * As a voter, grants the retries of all entries while it leads; as an entry, reports requests
     * and asks for retries. While an instance without it leads, and at entries without it, each
     * entry keeps to an equal share of the limit.
     */
    RETRY_LIMIT(32);

    private final int mBit;

    /** Creates a capability with its bit, a power of two that is part of the protocol. */
    Capability(int bit) {
        mBit = bit;
    }

    /** Returns the capabilities of this build. */
    static Set<Capability> own() {
        return EnumSet.allOf(Capability.class);
    }

    static int toBits(Set<Capability> capabilities) {
        int bits = 0;
        for (Capability capability : capabilities) {
            bits |= capability.mBit;
        }
        return bits;
    }

    static Set<Capability> fromBits(int bits) {
        Set<Capability> known = EnumSet.noneOf(Capability.class);
        for (Capability capability : values()) {
            if ((bits & capability.mBit) != 0) {
                known.add(capability);
            }
        }
        return known;
    }
}
