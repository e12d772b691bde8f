/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.report;

/** The outcome of a request. The names are part of the log format. */
public enum RequestEnd {
    /** Served within the target latency and, if streamed, without a harmful gap between events. */
    IN_TIME,
    /** Served, but late because the caller had been refused before and had to retry. */
    LATE_CAME_BACK,
    /** Served late; most of the time to the first part was spent waiting for memory. */
    LATE_FOR_ROOM,
    /** Served late; most of the time to the first part was spent on the prefill and its queue. */
    LATE_FOR_PREFILL,
    /**
     * Served late; most of the time to the first part was spent waiting for the upstream's
     * response.
     */
    LATE_AT_UPSTREAM,
    /** Served with the first part in time, but with a harmful gap between later parts. */
    LATE_BY_PAUSE,
    /** Refused: no engine had enough memory within the time that the request may wait. */
    REFUSED_NO_ROOM,
    /**
     * Refused: engines had memory, but it is reserved for more urgent requests, which are expected
     * before that of this request would be free again.
     */
    REFUSED_FOR_URGENT,
    /** Refused at once: the request is larger than the memory of an engine. */
    REFUSED_TOO_LARGE,
    /** Refused: engines had memory, but no prefill engine became free in time. */
    REFUSED_NO_PREFILL,
    /** Refused: no upstream of the service was accepting requests. */
    REFUSED_NO_UPSTREAM,
    /** Refused: this instance reached no upstream, directly or through another instance. */
    REFUSED_CUT_OFF,
    /** Refused: every upstream that was tried refused the request. */
    REFUSED_BY_UPSTREAMS,
    /**
     * Refused: an upstream refused the request, and it was not tried again because the limit on the
     * retries of all instances is used up.
     */
    REFUSED_RETRY_LIMIT,
    /** Refused: every eligible upstream has reached the request rate that it announced. */
    REFUSED_UPSTREAM_LIMIT,
    /** Refused: the client account has used up its limit. */
    REFUSED_OVER_LIMIT,
    /** Refused: no instance that counts the usage of the client account was reachable. */
    REFUSED_LIMIT_UNKNOWN,
    /** Refused: the route requires a key and the request has none. */
    REFUSED_NO_KEY,
    /** Refused: the key belongs to no account of the route table in force. */
    REFUSED_UNKNOWN_KEY,
    /**
     * Refused until an operator lifts the quarantine: upstreams crashed each time they ran the
     * request.
     */
    REFUSED_QUARANTINED,
    /**
     * Refused: the request continues a stream, and no instance that could be asked knows which
     * software version began it.
     */
    REFUSED_ORIGIN_UNKNOWN,
    /**
     * Refused: the request continues a stream, and no upstream of the software version that began
     * it serves.
     */
    REFUSED_VERSION_GONE,
    /** Refused: the bodies of other requests took the memory of this instance for too long. */
    REFUSED_NO_BODY_MEMORY,
    /** Refused: the instance is stopping and would not complete the response. */
    REFUSED_INSTANCE_STOPS,
    /** The time limit of the request expired. */
    TIMED_OUT,
    /** Failed, and an upstream may have executed the request. */
    FAILED,
    /** The caller received an upstream's own error response. */
    UPSTREAM_ERROR,
    /** A stream ended before it was complete. */
    CUT,
    /** The caller disconnected before the response was complete. */
    CALLER_LEFT;

    /**
     * Returns whether the caller received a complete response that was not an error.
     *
     * @return true if the request was served, in time or late
     */
    public boolean isServed() {
        return this == IN_TIME || isLate();
    }

    /**
     * Returns whether the request was served late.
     *
     * @return true for each of the LATE outcomes
     */
    public boolean isLate() {
        return name().startsWith("LATE");
    }

    /**
     * Returns whether the request was refused without having been executed.
     *
     * @return true for each of the REFUSED outcomes
     */
    public boolean isRefused() {
        return name().startsWith("REFUSED");
    }
}
