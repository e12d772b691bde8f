/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import java.time.Duration;
import java.util.Optional;

/**
 * How one upstream is called for a request. Immutable.
 *
 * @param upstreamId the identity of the upstream that is meant
 * @param left how long the upstream may work on it
 * @param phase whether only the prompt is to be prefilled
 * @param cache where the prompt's KV cache is, if it was prefilled elsewhere
 * @param reservation the memory reserved for it there, if any
 * @param afterEvent the last event that the caller has; 0 for none
 */
public record UpstreamCall(
        String upstreamId,
        Duration left,
        Phase phase,
        Optional<KvCacheRef> cache,
        Optional<String> reservation,
        long afterEvent) {
    /** What of a request an upstream is to do. */
    public enum Phase {
        /** Prefills the prompt and keeps its KV cache. */
        PREFILL,
        /** Does all that is left. */
        COMPLETE
    }
}
