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
}
