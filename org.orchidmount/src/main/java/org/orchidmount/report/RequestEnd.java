/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.report;

/** How a request ended, and why not better. The names are part of the log's format. */
public enum RequestEnd {
    /** Served within its target, and streamed without a harmful pause. */
    IN_TIME,
    /** Served, but its caller had been refused before, so that it came late. */
    LATE_CAME_BACK,
    /** Served late; most of the time to the first part went into waiting for memory. */
    LATE_FOR_ROOM,
    /** Served late; most of the time to the first part went into the prefill and its queue. */
    LATE_FOR_PREFILL,
    /** Served late; most of the time to the first part went into the upstream's response. */
    LATE_AT_UPSTREAM,
    /** Served, its first part in time, but with a pause that does harm. */
    LATE_BY_PAUSE,
    /** Refused: no engine had memory for it within its wait. */
    REFUSED_NO_ROOM,
    /** Refused at once: it is larger than the memory of an engine. */
    REFUSED_TOO_LARGE,
    /** Refused: engines had memory, but no prefill engine was free in time. */
    REFUSED_NO_PREFILL,
    /** Refused: no upstream of the service took work. */
    REFUSED_NO_UPSTREAM,
    /** Refused: each upstream that was asked refused it. */
    REFUSED_BY_UPSTREAMS,
    /** Refused: each upstream that could take it has got what it says it takes. */
    REFUSED_UPSTREAM_LIMIT,
    /** Refused: its client account has used up its limit. */
    REFUSED_OVER_LIMIT,
    /** Refused: no instance that counts its account's limit could be asked. */
    REFUSED_LIMIT_UNKNOWN,
    /** Refused: its route asks for a key, and it shows none. */
    REFUSED_NO_KEY,
    /** Refused: no account of the table in force has the key that it shows. */
    REFUSED_UNKNOWN_KEY,
    /** Refused for good: upstreams have crashed each time they ran it. */
    REFUSED_QUARANTINED,
    /** Its time was over. */
    TIMED_OUT,
    /** Failed, and may have run. */
    FAILED,
    /** The caller got an upstream's own error response. */
    UPSTREAM_ERROR,
    /** A stream that had begun ended without its rest. */
    CUT,
    /** Its caller left before. */
    CALLER_LEFT;

    /**
     * Tells whether the caller got a whole response that was not an error.
     *
     * @return true if it was served, late too
     */
    public boolean isServed() {
        return this == IN_TIME || isLate();
    }

    /**
     * Tells whether it was served late.
     *
     * @return true if it was
     */
    public boolean isLate() {
        return name().startsWith("LATE");
    }

    /**
     * Tells whether it was refused without having run.
     *
     * @return true if it was
     */
    public boolean isRefused() {
        return name().startsWith("REFUSED");
    }
}
