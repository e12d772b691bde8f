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
        OutputForecast output =
                new OutputForecast(outputTokens, 0, Integer.MAX_VALUE, LengthErrors.NONE);
        assertThat(StopRule.mayBegin(untilCut, waitMillis, output, measured)).isEqualTo(canEnd);
    }

    /**
     * Guards against a decision by the mean: what is cut in more than a tenth of all cases is not
     * begun. Of ten outputs, one is twice as long as expected and one three times as long. At one
     * token per millisecond, the time that is left is the number of tokens.
     */
    @ParameterizedTest
    @CsvSource({
        // As long as expected, twice as long, and nearly that.
        "1000,    0,  9000, 0.2, false",
        "1999,    0,  9000, 0.2, false",
        "2000,    0,  9000, 0.1, true",
        "3000,    0,  9000, 0.0, true",
        "999,     0,  9000, 1.0, false",
        // It does not exceed its limit.
        "1500,    0,  1500, 0.0, true",
        "1499,    0,  1500, 0.2, false",
        // The caller has received a part: as much as most outputs, and more than any other.
        "500,   500,  9000, 0.2, false",
        "500,  1000,  9000, 1.0, false",
        "1000, 1000,  9000, 0.5, false",
        "2000, 1000,  9000, 0.0, true",
        "500,  3000,  9000, 1.0, false",
        "500,  3000,  3500, 0.0, true"
    })
    void whatIsLikelyToBeCutIsNotBegun(
            long untilCutMillis,
            double receivedTokens,
            double maxTokens,
            double probability,
            boolean mayBegin) {
        LengthErrors errors = new LengthErrors(1, 1, 1, 1, 2, 1, 1, 3, 1, 1);
        OutputForecast output = new OutputForecast(1_000, receivedTokens, maxTokens, errors);
        EngineSpeed speed = new EngineSpeed(0.02, 0.04, 1, 0, 0);
        Duration untilCut = Duration.ofMillis(untilCutMillis);
        assertThat(StopRule.cutProbability(untilCut, 0, output, speed))
                .isWithin(1e-9)
                .of(probability);
        assertThat(StopRule.mayBegin(untilCut, 0, output, Optional.of(speed))).isEqualTo(mayBegin);
    }
}
