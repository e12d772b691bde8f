/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

/** Decision on a request. Immutable. */
public sealed interface Decision {
    /**
     * The request is placed on engines and runs now.
     *
     * @param prefill name of the prefill engine
     * @param decode name of the decode engine
     * @param cachedTokens prompt tokens expected in the prefix cache of the prefill engine
     */
    record Place(String prefill, String decode, int cachedTokens) implements Decision {}

    /**
     * The request waits for capacity.
     *
     * @param reason what is missing
     */
    record Wait(WaitReason reason) implements Decision {}

    /**
     * The request is refused without having run.
     *
     * @param reason why the request is refused
     * @param retryAfterMillis time after which the caller should retry
     */
    record Refuse(RefuseReason reason, long retryAfterMillis) implements Decision {}

    /** Reason why a request waits. */
    enum WaitReason {
        /** No prefill engine is available. */
        NO_PREFILL,
        /** No decode engine has a free slot and enough memory. */
        NO_DECODE,
        /** A limit of the account, class, model or pool is reached. */
        LIMIT
    }

    /** Why a request is refused. */
    enum RefuseReason {
        /** The first token would miss the latency bound. */
        TOO_LATE,
        /** The request waited for the maximum time of its class. */
        WAITED_TOO_LONG,
        /** Too many requests of the class are waiting. */
        QUEUE_FULL,
        /** The account exceeds its rate limit. */
        RATE_LIMIT,
        /** The request does not fit into any engine, even an empty one. */
        TOO_LARGE,
        /** This instance is stopping. */
        STOPPING
    }
}
