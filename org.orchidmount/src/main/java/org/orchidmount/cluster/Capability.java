/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.util.EnumSet;
import java.util.Set;

/**
 * What an instance understands beyond the first form of the protocol. Each instance tells its own
 * in its greeting, and is sent only what it understands, so that instances of several builds work
 * side by side. Those that an instance does not know are passed over.
 */
enum Capability {
    /** Takes crash records. Where one does not, it runs requests that others refuse. */
    CRASH_RECORDS(1),

    /**
     * Takes limits of upstreams, and as a voter counts what is sent to these. Where a voter does
     * not, each entry keeps to an equal part of a limit; where an entry does not, it keeps to none.
     */
    UPSTREAM_LIMITS(2);

    private final int mBit;

    /** Creates it with a power of two, which is part of the protocol. */
    Capability(int bit) {
        mBit = bit;
    }

    /** Returns all that this build understands. */
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
