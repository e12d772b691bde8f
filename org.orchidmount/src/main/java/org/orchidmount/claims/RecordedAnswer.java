/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.claims;

/**
 * The answer of a not-repeatable request, kept for resends.
 *
 * @param status the HTTP status
 * @param contentType the body's media type, empty if none
 * @param body the body; empty if {@code complete} is false
 * @param complete false if the body was too large to be kept
 */
public record RecordedAnswer(int status, String contentType, byte[] body, boolean complete) {
    /** The largest body that is kept. */
    public static final int MAX_BODY_BYTES = 256 * 1024;
}
