/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

/** What is to be done with a request. Immutable. */
public sealed interface Decision {
    /**
     * The request runs now.
     *
     * @param prefill the prefill engine
     * @param decode the decode engine
     * @param cachedTokens the prompt tokens expected in the prefill engine's cache
     */
    record Place(String prefill, String decode, int cachedTokens) implements Decision {}

    /**
     * The request waits for room.
     *
     * @param reason what is missing
     */
    record Wait(WaitReason reason) implements Decision {}

    /**
     * The request is refused as not run.
     *
     * @param reason why
     * @param retryAfterMillis when to come back
     */
    record Refuse(RefuseReason reason, long retryAfterMillis) implements Decision {}

    /** What a waiting request lacks. */
    enum WaitReason {
        /** No prefill engine is available. */
        NO_PREFILL,
        /** No decode engine has a slot and memory. */
        NO_DECODE,
        /** A limit of the account, class, model or pool is reached. */
        LIMIT
    }

    /** Why a request is refused. */
    enum RefuseReason {
        /** The first token would come too late. */
        TOO_LATE,
        /** The request waited as long as its class allows. */
        WAITED_TOO_LONG,
        /** Too many requests of the class are waiting. */
        QUEUE_FULL,
        /** The account sends faster than its limit. */
        RATE_LIMIT,
        /** No engine could ever hold the request. */
        TOO_LARGE,
        /** This instance is stopping. */
        STOPPING
    }
}
