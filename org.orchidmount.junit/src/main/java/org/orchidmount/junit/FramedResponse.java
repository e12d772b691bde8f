/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.junit;

import java.util.Map;

/**
 * A response as far as it came, judged by its framing alone.
 *
 * @param status the status; -1 if no whole head came
 * @param headers the header fields, their names in lower case
 * @param framing how its end is found
 * @param body what came of the body, without the framing
 * @param end how reading ended
 * @param isComplete whether the response is whole by RFC 9112, section 8
 */
public record FramedResponse(
        int status,
        Map<String, String> headers,
        Framing framing,
        String body,
        End end,
        boolean isComplete) {
    /** How the end of a response is found. */
    public enum Framing {
        /** There is no whole head. */
        NONE,
        /** By its length. */
        LENGTH,
        /** By the last chunk. */
        CHUNKED,
        /** By the orderly end of the connection. */
        CLOSE
    }

    /** How reading ended. */
    public enum End {
        /** With the last byte of the response; the connection may be kept. */
        LAST_BYTE,
        /** With an orderly end of the connection. */
        CLOSED,
        /** With a reset of the connection. */
        RESET,
        /** The time for reading was over. */
        TIMED_OUT
    }

    /**
     * Counts the events of the body that came whole.
     *
     * @return the number
     */
    public int events() {
        return body.split("\n\n", -1).length - 1;
    }
}
