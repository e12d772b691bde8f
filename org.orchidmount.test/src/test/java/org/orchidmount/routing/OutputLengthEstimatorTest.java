/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Tests {@code OutputLengthEstimator}. */
final class OutputLengthEstimatorTest {
    private final OutputLengthEstimator mLengths = new OutputLengthEstimator();

    @Test
    void reservesMoreThanExpectedButNeverMoreThanTheMost() {
        assertThat(mLengths.reserve(stated(3_500, 10_000))).isGreaterThan(3_500);
        assertThat(mLengths.reserve(stated(9_000, 10_000))).isAtMost(10_000);
        assertThat(mLengths.reserve(stated(0, 100))).isEqualTo(100);
    }

    @Test
    void estimatesAreDrawnTowardsTheMeanOfAll() {
        mLengths.observe(stated(3_500, 100_000));
        int before = mLengths.reserve(stated(3_500, 100_000));
        for (int i = 0; i < 200; i++) {
            mLengths.observe(stated(200, 100_000));
        }
        assertThat(mLengths.reserve(stated(3_500, 100_000))).isLessThan(before);
        assertThat(mLengths.reserve(stated(200, 100_000))).isLessThan(400);
    }

    @Test
    void largeRequestsMayWaitLonger() {
        longestWait(10_000);
        assertThat(longestWait(20_000)).isGreaterThan(longestWait(8_000));
        assertThat(longestWait(1_000_000)).isAtMost(0.6);
        assertThat(longestWait(1)).isAtLeast(0.1);
    }

    /** The share of its target that a request may wait for memory. */
    private double longestWait(int tokens) {
        Duration target = Duration.ofSeconds(1);
        double relativeSize = mLengths.relativeSize(tokens);
        return MemoryWaitRule.forNewRequest(relativeSize, target).toNanos()
                / (double) target.toNanos();
    }

    private static OutputLengthEstimator.StatedLength stated(int expected, int most) {
        return new OutputLengthEstimator.StatedLength(expected, most);
    }
}
