/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.path;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.orchidmount.internal.http.ConnectionPath;

/** The rule by which an instance tells its own lost path from upstreams that fail. */
final class PathRuleTest {
    @ParameterizedTest
    @CsvSource({
        "0, 3, false",
        "1, 3, false",
        "2, 3, true",
        "3, 3, true",
        "1, 1, true",
        "0, 0, false",
    })
    void oneFailingUpstreamOfSeveralIsNoDoubt(int failing, int known, boolean isInDoubt) {
        assertThat(PathRule.isInDoubt(failing, known)).isEqualTo(isInDoubt);
    }

    @ParameterizedTest
    @CsvSource({
        "1, 0, DIRECT",
        "3, 3, DIRECT",
        "0, 1, TUNNEL",
        "0, 0, NONE",
    })
    void tunnelsAreUsedOnlyIfNothingIsReachedDirectly(
            int connected, int tunnelled, ConnectionPath verdict) {
        assertThat(PathRule.verdict(connected, tunnelled)).isEqualTo(verdict);
    }

    @ParameterizedTest
    @CsvSource({
        "3, 0, false",
        "3, 1, false",
        "3, 2, true",
        "1, 1, true",
        "0, 0, false",
    })
    void onePathThatWorksAgainIsNoRecovery(int tried, int connected, boolean isRecovered) {
        assertThat(PathRule.isRecovered(tried, connected)).isEqualTo(isRecovered);
    }
}
