/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Tests {@code AnswerSizes}. */
final class AnswerSizesTest {
    private final AnswerSizes mSizes = new AnswerSizes();

    @Test
    void reservesMoreThanExpectedButNeverMoreThanTheMost() {
        assertThat(mSizes.reserve(prompt(3_500, 10_000))).isGreaterThan(3_500);
        assertThat(mSizes.reserve(prompt(9_000, 10_000))).isAtMost(10_000);
        assertThat(mSizes.reserve(prompt(0, 100))).isEqualTo(100);
    }

    @Test
    void estimatesAreDrawnTowardsTheMeanOfAll() {
        mSizes.observe(prompt(3_500, 100_000));
        int before = mSizes.reserve(prompt(3_500, 100_000));
        for (int i = 0; i < 200; i++) {
            mSizes.observe(prompt(200, 100_000));
        }
        assertThat(mSizes.reserve(prompt(3_500, 100_000))).isLessThan(before);
        assertThat(mSizes.reserve(prompt(200, 100_000))).isLessThan(400);
    }

    @Test
    void largeRequestsMayWaitLonger() {
        mSizes.patience(10_000);
        assertThat(mSizes.patience(20_000)).isGreaterThan(mSizes.patience(8_000));
        assertThat(mSizes.patience(1_000_000)).isAtMost(0.6);
        assertThat(mSizes.patience(1)).isAtLeast(0.1);
    }

    private static RelayRequest.Prompt prompt(int expected, int most) {
        return new RelayRequest.Prompt(1_000, most, expected, 0);
    }
}
