/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import java.time.Duration;
import java.util.Optional;
import org.orchidmount.relay.RequestProgress.Activity;
import org.orchidmount.report.RequestEnd;
import org.orchidmount.routes.RequestKind;
import org.orchidmount.routes.Route;
import org.orchidmount.routing.AttemptRule;

/** Names why a request ended as it did, for its report. Stateless. */
final class EndClassifier {
    private EndClassifier() {}

    /** What the driver of a request did last. */
    enum End {
        /** It passed on a whole response. */
        SERVED,
        /** It passed on an error response of an upstream. */
        UPSTREAM_ERROR,
        /** It gave the request up before the caller had any of a response. */
        GIVEN_UP,
        /** It refused the request because upstreams crash when they run it. */
        QUARANTINED,
        /** It cut a stream that the caller had in part. */
        CUT,
        /** It stopped because the caller had left. */
        CALLER_LEFT
    }

    /**
     * What is known of a request at its end.
     *
     * @param end what was done last
     * @param history its attempts that failed
     * @param isClientRetry whether its caller had been refused before
     * @param isTooLarge whether it is larger than an engine's memory
     * @param lacksPrefill whether memory was there when no place was found
     * @param isPaced whether no place was found because upstreams have got what they take
     * @param route its route
     * @param first the time to the first part of a response, if any came
     * @param longestPause the longest pause of its stream
     * @param progress what it waited for
     */
    record Facts(
            End end,
            AttemptRule.History history,
            boolean isClientRetry,
            boolean isTooLarge,
            boolean lacksPrefill,
            boolean isPaced,
            Route route,
            Optional<Duration> first,
            Duration longestPause,
            RequestProgress progress) {}

    static RequestEnd classify(Facts facts) {
        return switch (facts.end()) {
            case SERVED -> served(facts);
            case UPSTREAM_ERROR -> RequestEnd.UPSTREAM_ERROR;
            case GIVEN_UP -> givenUp(facts);
            case QUARANTINED -> quarantined(facts);
            case CUT -> RequestEnd.CUT;
            case CALLER_LEFT -> RequestEnd.CALLER_LEFT;
        };
    }

    /** An upstream may have crashed under this very attempt, which then was not refused unrun. */
    private static RequestEnd quarantined(Facts facts) {
        return facts.history().executions() > 0
                ? RequestEnd.FAILED
                : RequestEnd.REFUSED_QUARANTINED;
    }

    /** Returns how long a request has waited for a place, with memory where that is needed. */
    static Duration roomWait(RequestProgress progress) {
        return progress.waited(Activity.PLACEMENT).plus(progress.waited(Activity.RESERVATION));
    }

    private static RequestEnd served(Facts facts) {
        if (facts.isClientRetry()) {
            return RequestEnd.LATE_CAME_BACK;
        }
        Duration first = facts.first().orElse(Duration.ZERO);
        if (first.compareTo(facts.route().target()) > 0) {
            return late(first, facts.progress());
        }
        Duration harmless = facts.route().longestPause();
        boolean paused = harmless.isPositive() && facts.longestPause().compareTo(harmless) > 0;
        return paused ? RequestEnd.LATE_BY_PAUSE : RequestEnd.IN_TIME;
    }

    private static RequestEnd late(Duration first, RequestProgress progress) {
        Duration room = roomWait(progress);
        Duration prefill = progress.waited(Activity.PREFILL);
        Duration upstream = first.minus(room).minus(prefill);
        boolean isRoom = room.compareTo(prefill) >= 0 && room.compareTo(upstream) >= 0;
        if (isRoom) {
            return RequestEnd.LATE_FOR_ROOM;
        }
        boolean isPrefill = prefill.compareTo(upstream) >= 0;
        return isPrefill ? RequestEnd.LATE_FOR_PREFILL : RequestEnd.LATE_AT_UPSTREAM;
    }

    private static RequestEnd givenUp(Facts facts) {
        AttemptRule.History history = facts.history();
        if (history.executions() > 0) {
            return facts.progress().age().compareTo(facts.route().timeout()) >= 0
                    ? RequestEnd.TIMED_OUT
                    : RequestEnd.FAILED;
        }
        if (facts.isPaced()) {
            return RequestEnd.REFUSED_UPSTREAM_LIMIT;
        }
        if (history.attempts() > 0) {
            return RequestEnd.REFUSED_BY_UPSTREAMS;
        }
        if (facts.route().kind() != RequestKind.STREAM) {
            return RequestEnd.REFUSED_NO_UPSTREAM;
        }
        if (facts.isTooLarge()) {
            return RequestEnd.REFUSED_TOO_LARGE;
        }
        return facts.lacksPrefill() ? RequestEnd.REFUSED_NO_PREFILL : RequestEnd.REFUSED_NO_ROOM;
    }
}
