/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

/** Why a response is not completed. The names are part of the log and of the metrics. */
public enum AbortCause {
    /** The upstream failed, or ended its response early, and no other one continues it. */
    UPSTREAM_FAILED,
    /** Another instance has taken the stream up, at the caller's request. */
    TAKEN_OVER,
    /** The caller takes the response too slowly. */
    CALLER_TOO_SLOW,
    /** The time for the request is over. */
    TIMED_OUT,
    /** The instance stops, and its time for that is over. */
    INSTANCE_STOPS,
    /** An error of the instance itself. */
    INTERNAL_ERROR
}
