/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests {@code StopRule}. */
final class StopRuleTest {
    /** The pace is in tokens per second; 0 stands for none measured. */
    @ParameterizedTest
    @CsvSource({
        // As long as what is left, and a little longer.
        "5000,   0,  500, 100,  true",
        "5000,   0,  501, 100,  false",
        "5000, 100,  490, 100,  true",
        "5000, 101,  490, 100,  false",
        // The wait alone is too long.
        "5000, 5001,   0, 100,  false",
        // A faster engine, and a slower one.
        "5000,   0,  501, 101,  true",
        "5000,   0,  499,  99,  false",
        // Nothing is left.
        "0,      0,    1, 100,  false",
        "-1,     0,    0, 100,  false",
        "0,      0,    0, 100,  true",
        // No pace is measured.
        "5000,   0, 9000,   0,  true",
        "0,      0,    1,   0,  true"
    })
    void anOutputThatIsExpectedToBeCutIsNotBegun(
            long untilCutMillis,
            double waitMillis,
            int outputTokens,
            double tokensPerSecond,
            boolean canEnd) {
        Optional<EngineSpeed> measured =
                tokensPerSecond > 0
                        ? Optional.of(new EngineSpeed(0.02, 0.04, tokensPerSecond / 1_000, 0, 0))
                        : Optional.empty();
        Duration untilCut = Duration.ofMillis(untilCutMillis);
        assertThat(StopRule.canEnd(untilCut, waitMillis, outputTokens, measured)).isEqualTo(canEnd);
    }
}
