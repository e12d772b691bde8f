/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.daemon.internal;

import io.undertow.util.StatusCodes;
import java.util.Locale;
import org.orchidmount.routing.Decision;

/**
 * An answer other than the one asked for. Immutable.
 *
 * @param status the HTTP status
 * @param code a short name for programs
 * @param message an explanation with the remedy
 * @param outcome the request's fate
 * @param retryAfterMillis when to come back, 0 if that does not help
 */
record Refusal(int status, String code, String message, Outcome outcome, long retryAfterMillis) {
    /** A request that is wrong in itself, and reached no upstream. */
    static Refusal bad(int status, String code, String message) {
        return new Refusal(status, code, message, Outcome.NOT_RUN, 0);
    }

    /** A sound request that cannot run now, and reached no upstream. */
    static Refusal notNow(int status, String code, String message, long retryAfterMillis) {
        return new Refusal(status, code, message, Outcome.NOT_RUN, retryAfterMillis);
    }

    /** A request whose work failed after it may have begun. */
    static Refusal failed(String message) {
        return new Refusal(StatusCodes.BAD_GATEWAY, "upstream_failed", message, Outcome.UNKNOWN, 0);
    }

    /** A request that was admitted by no engine. */
    static Refusal of(Decision.Refuse refuse, Outcome outcome) {
        String message =
                switch (refuse.reason()) {
                    case TOO_LATE -> Messages.TOO_LATE;
                    case WAITED_TOO_LONG -> Messages.WAITED_TOO_LONG;
                    case QUEUE_FULL -> Messages.QUEUE_FULL;
                    case RATE_LIMIT -> Messages.RATE_LIMIT;
                    case TOO_LARGE -> Messages.TOO_LARGE;
                    case STOPPING -> Messages.STOPPING;
                };
        int status =
                switch (refuse.reason()) {
                    case RATE_LIMIT, QUEUE_FULL -> StatusCodes.TOO_MANY_REQUESTS;
                    case TOO_LARGE -> StatusCodes.REQUEST_ENTITY_TOO_LARGE;
                    default -> StatusCodes.SERVICE_UNAVAILABLE;
                };
        String code = refuse.reason().name().toLowerCase(Locale.ROOT);
        return new Refusal(status, code, message, outcome, refuse.retryAfterMillis());
    }
}
