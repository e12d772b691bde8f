/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Random;
import java.util.TreeSet;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Many are refused at the same moment: none is told to come back before there can be room, and they
 * do not come back together.
 */
final class RetryAfterTest {
    private static final int REFUSED = 200;
    private final Random mRandom = new Random(3);

    private static TreeSet<Duration> times(Supplier<Duration> time) {
        TreeSet<Duration> times = new TreeSet<>();
        for (int i = 0; i < REFUSED; i++) {
            times.add(time.get());
        }
        return times;
    }

    @Test
    void thoseRefusedByALimitComeBackOnceItHasRoomAndApart() {
        Duration untilRoom = Duration.ofSeconds(2);
        TreeSet<Duration> times = times(() -> RetryAfter.limit(untilRoom, mRandom));
        assertThat(times.first()).isAtLeast(untilRoom);
        assertThat(times.last()).isAtMost(Duration.ofMillis(2_500));
        assertThat(times).hasSize(REFUSED);
    }

    /** A leader that has died is followed by another 0.7 to 1.4 s later. */
    @Test
    void thoseWhoseLimitNobodyKnowsComeBackOnceAnotherLeadsAndApart() {
        TreeSet<Duration> times = times(() -> RetryAfter.noLimitOwner(mRandom));
        assertThat(times.first()).isAtLeast(Duration.ofMillis(1_400));
        assertThat(times.last()).isAtMost(Duration.ofMillis(2_400));
        assertThat(times).hasSize(REFUSED);
    }

    /** Guards against callers that return before there is room, together, or far too late. */
    @ParameterizedTest
    @CsvSource({"1000, 1000, 1250", "0, 50, 63", "100000, 3600, 4500", "Infinity, 3600, 4500"})
    void thoseRefusedForRoomComeBackWhenItIsExpectedAndApart(
            double roomMillis, long minMillis, long maxMillis) {
        EngineSpeed speed = new EngineSpeed(0.02, 0.04, 1.3, 150, 3_000);
        TreeSet<Duration> times = times(() -> RetryAfter.room(roomMillis, speed, mRandom));
        assertThat(times.first()).isAtLeast(Duration.ofMillis(minMillis));
        assertThat(times.last()).isAtMost(Duration.ofMillis(maxMillis));
        assertThat(times).hasSize(REFUSED);
    }

    /** Guards against a wait that leaves no time for the first token, and against none at all. */
    @ParameterizedTest
    @CsvSource({"0, 200, 550", "300, 200, 250", "700, 200, 80", "5000, 200, 80", "0, 900, 80"})
    void aRequestWaitsWhileItCanBeInTime(long ageMillis, double firstTokenMillis, long expected) {
        Duration target = Duration.ofMillis(800);
        assertThat(MemoryWaitRule.untilLate(target, Duration.ofMillis(ageMillis), firstTokenMillis))
                .isEqualTo(Duration.ofMillis(expected));
    }
}
