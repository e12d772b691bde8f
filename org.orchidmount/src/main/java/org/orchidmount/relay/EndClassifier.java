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

/** Classifies how a request ended, for its report. Stateless. */
final class EndClassifier {
    private EndClassifier() {}

    /** The final action of {@link RequestRelay} for a request. */
    enum End {
        /** A complete response was forwarded. */
        SERVED,
        /** An error response of an upstream was forwarded. */
        UPSTREAM_ERROR,
        /** The request was given up before the caller had received any part of a response. */
        GIVEN_UP,
        /** The request was refused because upstreams crash when they run it. */
        QUARANTINED,
        /** The request was given up because the limit on retries is used up. */
        RETRIES_EXHAUSTED,
        /** Refused: it continues a stream whose origin is not known here. */
        ORIGIN_UNKNOWN,
        /** Refused: it continues a stream of a version of which no upstream serves. */
        VERSION_GONE,
        /** Refused: it is not expected to end before this instance does. */
        INSTANCE_STOPS,
        /** A stream was aborted of which the caller had received a part. */
        CUT,
        /** The caller disconnected. */
        CALLER_LEFT
    }

    /**
     * The state of a request when it ended.
     *
     * @param end the final action
     * @param history the failed attempts
     * @param isClientRetry whether the caller repeats a request that was refused before
     * @param isTooLarge whether the request exceeds the memory of an engine
     * @param lacksPrefill whether memory was available, but no engine that could prefill in time
     * @param isHeldBack whether memory was available, but reserved for more urgent requests
     * @param isCutOff whether no upstream could be reached
     * @param isThrottled whether every upstream was at its stated limit or had asked for a pause
     * @param route the route of the request
     * @param first the time to the first part of a response, if any came
     * @param longestPause the longest gap between two parts of the stream
     * @param progress the times that the request has waited, by activity
     */
    record Facts(
            End end,
            AttemptRule.History history,
            boolean isClientRetry,
            boolean isTooLarge,
            boolean lacksPrefill,
            boolean isHeldBack,
            boolean isCutOff,
            boolean isThrottled,
            Route route,
            Optional<Duration> first,
            Duration longestPause,
            RequestProgress progress) {}

    static RequestEnd classify(Facts facts) {
        return switch (facts.end()) {
            case SERVED -> served(facts);
            case UPSTREAM_ERROR -> RequestEnd.UPSTREAM_ERROR;
            case GIVEN_UP -> givenUp(facts);
            case RETRIES_EXHAUSTED -> retriesExhausted(facts);
            case QUARANTINED -> quarantined(facts);
            case ORIGIN_UNKNOWN -> RequestEnd.REFUSED_ORIGIN_UNKNOWN;
            case VERSION_GONE -> RequestEnd.REFUSED_VERSION_GONE;
            case INSTANCE_STOPS -> RequestEnd.REFUSED_INSTANCE_STOPS;
            case CUT -> RequestEnd.CUT;
            case CALLER_LEFT -> RequestEnd.CALLER_LEFT;
        };
    }

    /**
     * If the request has run, an upstream may have crashed in this very attempt, so it was not
     * refused.
     */
    private static RequestEnd quarantined(Facts facts) {
        return facts.history().executions() > 0
                ? RequestEnd.FAILED
                : RequestEnd.REFUSED_QUARANTINED;
    }

    private static RequestEnd retriesExhausted(Facts facts) {
        return facts.history().executions() > 0 ? givenUp(facts) : RequestEnd.REFUSED_RETRY_LIMIT;
    }

    /**
     * Returns the time that a request has waited for a placement, including the reservation of
     * memory.
     */
    static Duration roomWait(RequestProgress progress) {
        return progress.waited(Activity.PLACEMENT).plus(progress.waited(Activity.RESERVATION));
    }

    private static RequestEnd served(Facts facts) {
        if (facts.isClientRetry()) {
            return RequestEnd.LATE_CAME_BACK;
        }
        Duration first = facts.first().orElse(Duration.ZERO);
        if (first.compareTo(facts.route().targetLatency()) > 0) {
            return late(first, facts.progress());
        }
        Duration maxPause = facts.route().maxEventGap();
        boolean paused = maxPause.isPositive() && facts.longestPause().compareTo(maxPause) > 0;
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
        if (facts.isCutOff()) {
            return RequestEnd.REFUSED_CUT_OFF;
        }
        if (facts.isThrottled()) {
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
        if (facts.lacksPrefill()) {
            return RequestEnd.REFUSED_NO_PREFILL;
        }
        return facts.isHeldBack() ? RequestEnd.REFUSED_FOR_URGENT : RequestEnd.REFUSED_NO_ROOM;
    }
}
