/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.pacing;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.orchidmount.junit.ManualClock;
import org.orchidmount.membership.Incarnation;
import org.orchidmount.membership.Registration;
import org.orchidmount.membership.Registration.Stage;
import org.orchidmount.membership.Registration.State;
import org.orchidmount.quota.QuotaAnswer;
import org.orchidmount.quota.QuotaOwnerClient;
import org.orchidmount.quota.QuotaRequest;
import org.orchidmount.quota.SharedQuota;

/** Guards against work for upstreams that have asked for a pause, and against pauses cut short. */
final class UpstreamPausesTest {
    private static final Incarnation UPSTREAM = Incarnation.startedAt("i-1", 5);
    private static final Incarnation OTHER = Incarnation.startedAt("i-2", 5);
    private static final Duration TARGET = Duration.ofMillis(400);
    private static final Duration PATIENCE = Duration.ofSeconds(30);

    private final ManualClock mClock = new ManualClock();
    private final UpstreamThrottle mThrottle =
            new UpstreamThrottle(
                    new UpstreamLimits("here", mClock),
                    limit -> {},
                    new SharedQuota(new NoOwner()),
                    () -> 1,
                    new SplittableRandom(1),
                    mClock);

    /** No limit is stated here, so nobody is asked. */
    private static final class NoOwner implements QuotaOwnerClient {
        @Override
        public CompletableFuture<QuotaAnswer> requestUnits(QuotaRequest request) {
            throw new AssertionError("asked for " + request);
        }

        @Override
        public void refund(String key, long units) {
            throw new AssertionError("given back " + key);
        }
    }

    private void states(Incarnation upstream, PauseStatement pause) {
        UpstreamStatement stated = new UpstreamStatement(LimitStatement.NONE, pause, false);
        mThrottle.observe(upstream, stated, false, mClock.nanoTime());
    }

    private static PauseStatement seconds(double seconds) {
        return new PauseStatement.Lasting(Duration.ofMillis((long) (1_000 * seconds)));
    }

    @ParameterizedTest
    @CsvSource({
        // seconds of the first pause, when it asks again, for how long, when the pause is over
        "3, 1, 3, 4",
        "3, 1, 1, 3",
        "3, 1, 0, 3",
        "0.5, 0.25, 0.5, 0.75",
        "60, 1, 3, 60",
    })
    void aPauseIsNeverShortened(double first, double again, double second, double end)
            throws InterruptedException {
        states(UPSTREAM, seconds(first));
        mClock.advance(Duration.ofMillis((long) (1_000 * again)));
        states(UPSTREAM, seconds(second));
        states(UPSTREAM, PauseStatement.NONE);
        states(UPSTREAM, new PauseStatement.Unreadable("soon"));
        mClock.advance(Duration.ofMillis((long) (1_000 * (end - again)) - 1));
        assertThat(mThrottle.throttledUpstreams()).containsExactly("i-1");
        assertThat(mThrottle.acquire(UPSTREAM, TARGET).isGranted()).isFalse();
        assertThat(mThrottle.recordRefusal(UPSTREAM)).isTrue();
        mClock.advance(Duration.ofMillis(1));
        assertThat(mThrottle.throttledUpstreams()).isEmpty();
        assertThat(mThrottle.acquire(UPSTREAM, TARGET).isGranted()).isTrue();
        assertThat(mThrottle.recordRefusal(UPSTREAM)).isFalse();
    }

    @ParameterizedTest
    @CsvSource({
        // start that registers, its state, whether the pause goes on
        "5, READY, true",
        "5, DRAINING, true",
        "5, GONE, false",
        "6, READY, false",
        "4, READY, true",
    })
    void aPauseEndsWithItsIncarnation(long start, State state, boolean goesOn) {
        states(UPSTREAM, seconds(60));
        Incarnation registers = Incarnation.startedAt("i-1", start);
        mThrottle.registered(
                new Registration(registers, "s", "10.0.0.1:80", "a", 1, Stage.NONE, state, 9));
        assertThat(mThrottle.isPaused(UPSTREAM)).isEqualTo(goesOn);
        assertThat(mThrottle.isPaused(Incarnation.startedAt("i-1", 6))).isFalse();
    }

    /** Guards against callers that come back to a pause, or all at once after it. */
    @Test
    void callersComeBackAfterTheFirstPauseOneBehindTheOther() {
        states(UPSTREAM, seconds(20));
        states(OTHER, seconds(10));
        List<Incarnation> both = List.of(UPSTREAM, OTHER);
        assertThat(mThrottle.retryAfter("s", both, 5, PATIENCE)).isEqualTo(Duration.ofSeconds(10));
        assertThat(mThrottle.retryAfter("s", both, 5, PATIENCE))
                .isEqualTo(Duration.ofMillis(10_100));
    }
}
