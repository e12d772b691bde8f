/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.claims;

import java.util.concurrent.CompletableFuture;

/** The answer to a claim. Immutable. */
public sealed interface ClaimResult {
    /**
     * The claim is the caller's: the request may be sent, once.
     *
     * @param key the claim
     */
    record Granted(ClaimKey key) implements ClaimResult {}

    /**
     * The request is running; the future completes with the final state of the claim.
     *
     * @param end completes with {@link Done}, {@link Unknown} or {@link Released}
     */
    record Running(CompletableFuture<ClaimResult> end) implements ClaimResult {}

    /**
     * The request has run.
     *
     * @param answer its answer
     */
    record Done(RecordedAnswer answer) implements ClaimResult {}

    /**
     * It is unknown whether the request ran; it is never run again.
     *
     * @param reason why
     */
    record Unknown(String reason) implements ClaimResult {}

    /** The request has not run, and the key may be claimed again. */
    record Released() implements ClaimResult {}

    /** The key was used before with another body. */
    record Mismatch() implements ClaimResult {}

    /**
     * The claim could not be made durable, so the request must not be sent.
     *
     * @param reason why
     */
    record Unavailable(String reason) implements ClaimResult {}
}
