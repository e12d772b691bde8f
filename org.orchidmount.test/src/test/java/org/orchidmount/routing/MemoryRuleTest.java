/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests {@code MemoryRule}. */
final class MemoryRuleTest {
    private static final long MEMORY_TOKENS = 40_000;

    /** While an engine has little room, it is for new requests; with more, for both. */
    @ParameterizedTest
    @CsvSource({"4, true, true", "9, true, false", "20, false, false"})
    void aNewRequestFindsRoomWhereAClientRetryDoesNot(
            int inFlight, boolean newFits, boolean retryFits) {
        assertThat(fits(inFlight, false)).isEqualTo(newFits);
        assertThat(fits(inFlight, true)).isEqualTo(retryFits);
    }

    /** A prompt of more than half of an empty engine's memory was refused without end. */
    @ParameterizedTest
    @CsvSource({"10000, true", "20000, true", "36000, true", "38500, false", "60000, false"})
    void aLargePromptFitsWhereThereIsMemoryForIt(int promptTokens, boolean fits) {
        MemoryForecast.Sequence request = new MemoryForecast.Sequence(promptTokens, 0, 600, 1_500);
        assertThat(MemoryRule.canEverFit(request, MEMORY_TOKENS)).isEqualTo(fits);
    }

    @ParameterizedTest
    @CsvSource({"20000, true, 34000", "36000, true, 40000", "36000, false, 40000"})
    void aLargeClientRetryMayFillTheWholeEngine(int prompt, boolean isRetry, long available) {
        MemoryForecast.Sequence request = new MemoryForecast.Sequence(prompt, 0, 600, 1_500);
        assertThat(MemoryRule.availableTokens(request, isRetry, MEMORY_TOKENS))
                .isEqualTo(available);
    }

    private static boolean fits(int inFlight, boolean isClientRetry) {
        List<MemoryForecast.Sequence> sequences = new ArrayList<>();
        for (int i = 0; i <= inFlight; i++) {
            sequences.add(new MemoryForecast.Sequence(3_200, 0, 600, 1_500));
        }
        long available =
                MemoryRule.availableTokens(sequences.getFirst(), isClientRetry, MEMORY_TOKENS);
        return MemoryRule.fits(sequences, available);
    }
}
