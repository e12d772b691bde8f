/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import java.time.Duration;
import java.util.Optional;

/**
 * Parameters of a call to one upstream for a request. Immutable.
 *
 * @param upstreamId the id of the upstream to be called
 * @param timeLeft the time left for the upstream to work on the request
 * @param phase the part of the request to be done
 * @param cache the location of the prompt's KV cache, if another engine prefilled it
 * @param reservation the id of the memory reservation at the upstream, if any
 * @param lastEventId the id of the last event that the caller has received; 0 for none
 */
public record UpstreamCall(
        String upstreamId,
        Duration timeLeft,
        Phase phase,
        Optional<KvCacheRef> cache,
        Optional<String> reservation,
        long lastEventId) {
    /** The part of a request that an upstream is to do. */
    public enum Phase {
        /** Prefills the prompt and keeps its KV cache. */
        PREFILL,
        /** Does everything that remains of the request. */
        COMPLETE
    }
}
