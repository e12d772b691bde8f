/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

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
    private static final Pattern LINE =
            Pattern.compile(
                    "http: aborted response: (?<id>\\S+) (?<cause>\\w+) framing=(?<framing>\\w+)"
                            + " bytes=(?<bytes>\\d+) parts=(?<parts>\\d+)"
                            + " connection=(?<connection>reset|closed) (?<detail>.*)",
                    Pattern.DOTALL);

    /**
     * Parses a line of the log.
     *
     * @param message log message with its prefix
     * @return the response; empty if the message is none of these lines
     * @throws IllegalArgumentException if the cause or the framing is not known
     */
    public static Optional<AbortedResponse> parse(String message) {
        Matcher line = LINE.matcher(message);
        if (!line.matches()) {
            return Optional.empty();
        }
        return Optional.of(
                new AbortedResponse(
                        line.group("id"),
                        ResponseFraming.valueOf(line.group("framing")),
                        Long.parseLong(line.group("bytes")),
                        Long.parseLong(line.group("parts")),
                        AbortCause.valueOf(line.group("cause")),
                        line.group("connection").equals("reset"),
                        line.group("detail")));
    }

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
