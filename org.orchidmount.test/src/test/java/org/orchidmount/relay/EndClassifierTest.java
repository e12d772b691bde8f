/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.orchidmount.junit.ManualClock;
import org.orchidmount.junit.SampleRoutes;
import org.orchidmount.relay.EndClassifier.End;
import org.orchidmount.relay.RequestProgress.Activity;
import org.orchidmount.report.RequestEnd;
import org.orchidmount.routes.Route;
import org.orchidmount.routing.AttemptRule;

/** Tests {@code EndClassifier} with a target of 900 ms, harmless pauses of 300 and 14 s in all. */
final class EndClassifierTest {
    private final ManualClock mClock = new ManualClock();
    private final RequestProgress mProgress = new RequestProgress(mClock, "id-1");

    @ParameterizedTest
    @CsvSource({
        "100, 140, 400, 60, false, IN_TIME",
        "100, 140, 400, 60, true, LATE_CAME_BACK",
        "700, 140, 1000, 60, false, LATE_FOR_ROOM",
        "100, 800, 1000, 60, false, LATE_FOR_PREFILL",
        "100, 140, 1000, 60, false, LATE_AT_UPSTREAM",
        "100, 140, 400, 310, false, LATE_BY_PAUSE",
        "100, 140, 400, 300, false, IN_TIME"
    })
    void whatWasServedIsLateForItsLongestWait(
            long roomMillis,
            long prefillMillis,
            long firstMillis,
            long pauseMillis,
            boolean isClientRetry,
            RequestEnd end) {
        pass(Activity.PLACEMENT, roomMillis);
        pass(Activity.PREFILL, prefillMillis);
        Optional<Duration> first = Optional.of(Duration.ofMillis(firstMillis));
        Duration pause = Duration.ofMillis(pauseMillis);
        AttemptRule.History none = AttemptRule.History.NONE;
        assertThat(classify(End.SERVED, none, isClientRetry, false, false, first, pause))
                .isEqualTo(end);
    }

    @ParameterizedTest
    @CsvSource({
        "GIVEN_UP, 0, 0, false, false, 500, REFUSED_NO_ROOM",
        "GIVEN_UP, 0, 0, true, false, 500, REFUSED_NO_PREFILL",
        "GIVEN_UP, 0, 0, true, true, 500, REFUSED_NO_PREFILL",
        "GIVEN_UP, 0, 0, false, true, 500, REFUSED_FOR_URGENT",
        "GIVEN_UP, 2, 0, false, true, 500, REFUSED_BY_UPSTREAMS",
        "GIVEN_UP, 2, 1, false, true, 500, FAILED",
        "GIVEN_UP, 2, 0, false, false, 500, REFUSED_BY_UPSTREAMS",
        "GIVEN_UP, 2, 1, false, false, 500, FAILED",
        "GIVEN_UP, 2, 1, false, false, 14000, TIMED_OUT",
        "INSTANCE_STOPS, 0, 0, false, false, 500, REFUSED_INSTANCE_STOPS",
        "INSTANCE_STOPS, 2, 0, true, false, 500, REFUSED_INSTANCE_STOPS",
        "CUT, 1, 1, false, false, 500, CUT",
        "UPSTREAM_ERROR, 1, 1, false, false, 500, UPSTREAM_ERROR",
        "CALLER_LEFT, 0, 0, false, false, 500, CALLER_LEFT"
    })
    void whatWasNotServedSaysWhy(
            End last,
            int attempts,
            int executions,
            boolean lacksPrefill,
            boolean isHeldBack,
            long ageMillis,
            RequestEnd end) {
        pass(Activity.PLACEMENT, ageMillis);
        AttemptRule.History history = new AttemptRule.History(attempts, executions);
        assertThat(
                        classify(
                                last,
                                history,
                                false,
                                lacksPrefill,
                                isHeldBack,
                                Optional.empty(),
                                Duration.ZERO))
                .isEqualTo(end);
    }

    private void pass(Activity activity, long millis) {
        mProgress.startWaiting(activity);
        mClock.advance(Duration.ofMillis(millis));
        mProgress.startWaiting(Activity.SENDING);
    }

    private RequestEnd classify(
            End end,
            AttemptRule.History history,
            boolean isClientRetry,
            boolean lacksPrefill,
            boolean isHeldBack,
            Optional<Duration> first,
            Duration pause) {
        Route route =
                SampleRoutes.stream(false, Duration.ofSeconds(14), Duration.ofMillis(900), 1, "s");
        return EndClassifier.classify(
                new EndClassifier.Facts(
                        end,
                        history,
                        isClientRetry,
                        false,
                        lacksPrefill,
                        isHeldBack,
                        false,
                        false,
                        route,
                        first,
                        pause,
                        mProgress));
    }
}
