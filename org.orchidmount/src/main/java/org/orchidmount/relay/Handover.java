/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import java.time.Duration;
import java.util.Optional;

/**
 * How a request is handed to one upstream.
 *
 * @param upstreamId the identity of the upstream that is meant
 * @param left how long the upstream may work on it
 * @param part whether only the prompt is to be read
 * @param source where the read prompt is, if it was read elsewhere
 * @param reservation the memory reserved for it there, if any
 * @param afterEvent the last event that the caller has; 0 for none
 */
public record Handover(
        String upstreamId,
        Duration left,
        Part part,
        Optional<PromptSource> source,
        Optional<String> reservation,
        long afterEvent) {
    /** What of a request an upstream is to do. */
    public enum Part {
        /** Reads the prompt and keeps it. */
        PREFILL,
        /** Does all that is left. */
        ANSWER
    }

    /**
     * A prompt that was read.
     *
     * @param address the upstream that holds it
     * @param handle its name there
     */
    public record PromptSource(String address, String handle) {}
}
