/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.evidence;

import java.util.List;

/**
 * The merged evidence that a voter sends to the entries of its availability zone. Immutable.
 *
 * @param upstreams the upstreams whose evidence has changed, at most {@link #MAX_UPSTREAMS}
 */
public record EvidenceDigest(List<UpstreamEvidence> upstreams) {
    /**
     * Maximum number of upstreams in a digest. With few witnesses, one digest a second is below 7
     * KB/s, the bound of control traffic for an instance.
     */
    public static final int MAX_UPSTREAMS = 64;

    /** Creates a digest with its own copy of the list. */
    public EvidenceDigest {
        upstreams = List.copyOf(upstreams);
    }
}
