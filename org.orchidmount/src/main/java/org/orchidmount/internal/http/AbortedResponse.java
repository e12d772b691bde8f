/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

/**
 * A response that this process began, or had yet to begin, and gave up.
 *
 * @param requestId the id of its request; "-" if the request has none
 * @param framing how the caller learns where the body ends
 * @param bytes the bytes of the body passed to the connection or held for it
 * @param parts the parts in which they were passed; an event each if the response is a stream
 * @param cause why it was given up
 * @param isReset whether the connection was reset, rather than closed in order
 * @param detail what is known beside the cause
 */
public record AbortedResponse(
        String requestId,
        ResponseFraming framing,
        long bytes,
        long parts,
        AbortCause cause,
        boolean isReset,
        String detail) {
    /** Returns the line for the log. */
    String toLine() {
        return "aborted response: %s %s framing=%s bytes=%d parts=%d connection=%s %s"
                .formatted(
                        requestId,
                        cause,
                        framing,
                        bytes,
                        parts,
                        isReset ? "reset" : "closed",
                        detail);
    }
}
