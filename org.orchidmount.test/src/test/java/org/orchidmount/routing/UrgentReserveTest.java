/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.orchidmount.junit.ManualClock;

/** Tests {@link UrgentReserve} and {@link UrgentArrivals}. */
final class UrgentReserveTest {
    private static final long MEMORY_TOKENS = 74_000;

    private final ManualClock mClock = new ManualClock();
    private int mInstances = 1;
    private final UrgentArrivals mArrivals = new UrgentArrivals(mClock, () -> mInstances);

    /**
     * Guards against a reserve of all that arrives, which counts the memory of running urgent
     * requests twice, and against one that leaves nothing to less urgent requests.
     */
    @ParameterizedTest
    @CsvSource({
        // tokens per second, mean tokens, engines, time held, reserve
        "0, 0, 20, 3150, 0",
        // A tenth of a request is expected: all of it.
        "10000, 30000, 10, 3000, 3000",
        // A quarter, one and four requests: half the square root of their number.
        "10000, 12000, 10, 3000, 3000",
        "10000, 3000, 10, 3000, 1500",
        "40000, 3000, 10, 3000, 3000",
        "40000, 3000, 20, 6000, 3000",
        // At most three quarters of the memory.
        "1000000, 74000, 1, 3000, 55500",
        // No engine is known yet.
        "1000, 3000, 0, 3000, 1500"
    })
    void theReserveCoversTheVariationOfWhatArrives(
            double tokensPerSecond,
            double meanTokens,
            int engines,
            double heldMillis,
            long reserve) {
        UrgentReserve.Load load = new UrgentReserve.Load(tokensPerSecond, meanTokens);
        assertThat(UrgentReserve.tokens(load, engines, heldMillis, MEMORY_TOKENS))
                .isEqualTo(reserve);
    }

    /** Guards against a request that is never placed, and against one that gains by the reserve. */
    @ParameterizedTest
    @CsvSource({
        // prompt tokens, available, reserve, tokens
        "5000, 74000, 0, 74000",
        "5000, 74000, 12000, 62000",
        "5000, 62900, 11000, 62900",
        "5000, 62900, 12000, 62000",
        "5000, 74000, 55500, 18500"
    })
    void aLessUrgentRequestMayFillTheRemainder(
            int promptTokens, long available, long reserve, long tokens) {
        MemoryForecast.Sequence request =
                new MemoryForecast.Sequence(promptTokens, 0, 1_000, 2_000);
        assertThat(UrgentReserve.availableTokens(request, available, reserve, MEMORY_TOKENS))
                .isEqualTo(tokens);
    }

    /** Guards against a large request that is refused although engines are empty. */
    @ParameterizedTest
    @CsvSource({"20000", "40000", "60000", "68000"})
    void aRequestLargerThanTheRemainderFitsIntoAnEmptyEngineOnly(int promptTokens) {
        MemoryForecast.Sequence request =
                new MemoryForecast.Sequence(promptTokens, 0, 1_000, 2_000);
        long tokens = UrgentReserve.availableTokens(request, MEMORY_TOKENS, 55_500, MEMORY_TOKENS);
        assertThat(tokens).isAtMost(MEMORY_TOKENS);
        assertThat(MemoryRule.canEverFit(request, tokens)).isTrue();
        assertThat(MemoryRule.canEverFit(request, tokens - 2)).isFalse();
    }

    /** Guards against a rank that gets less than a quarter of the chances of others. */
    @ParameterizedTest
    @CsvSource({"0, false", "2, false", "3, true", "4, true"})
    void oneRequestInFourIsExempt(int heldBackInARow, boolean isExempt) {
        assertThat(UrgentReserve.isExempt(heldBackInARow)).isEqualTo(isExempt);
    }

    /** Guards against ranks that reserve memory for themselves or for less urgent ones. */
    @ParameterizedTest
    @CsvSource({"0, 0, 0", "1, 1000, 10000", "2, 3000, 15000", "9, 3000, 15000"})
    void onlyMoreUrgentArrivalsCount(int rank, double tokensPerSecond, double meanTokens) {
        mArrivals.arrived("s", 0, 10_000);
        mArrivals.arrived("s", 1, 20_000);
        mArrivals.arrived("other", 0, 50_000);
        assertThat(mArrivals.moreUrgent("s", rank))
                .isEqualTo(new UrgentReserve.Load(tokensPerSecond, meanTokens));
        assertThat(mArrivals.moreUrgent("none", rank)).isEqualTo(UrgentReserve.Load.NONE);
    }

    /** Guards against a reserve that outlasts its load, or that misses the other instances. */
    @Test
    void arrivalsCountForTenSecondsAndForAllInstances() {
        mArrivals.arrived("s", 0, 10_000);
        mClock.advance(Duration.ofSeconds(6));
        mArrivals.arrived("s", 0, 5_000);
        assertThat(mArrivals.moreUrgent("s", 1).tokensPerSecond()).isEqualTo(1_500);
        mInstances = 67;
        assertThat(mArrivals.moreUrgent("s", 1).tokensPerSecond()).isEqualTo(1_500 * 67);
        mClock.advance(Duration.ofSeconds(5));
        assertThat(mArrivals.moreUrgent("s", 1).tokensPerSecond()).isEqualTo(500 * 67);
        mClock.advance(Duration.ofSeconds(6));
        assertThat(mArrivals.moreUrgent("s", 1).tokensPerSecond()).isEqualTo(0);
    }

    /** Guards against an exemption that lasts, or that one rank uses up for another. */
    @Test
    void refusalsCountUntilARequestOfTheRankIsPlaced() {
        for (int i = 0; i < 3; i++) {
            mArrivals.heldBack("s", 2);
        }
        mArrivals.heldBack("s", 1);
        mArrivals.placed("s", 1);
        mArrivals.placed("other", 2);
        assertThat(mArrivals.heldBackInARow("s", 2)).isEqualTo(3);
        assertThat(mArrivals.heldBackInARow("s", 1)).isEqualTo(0);
        mArrivals.placed("s", 2);
        assertThat(mArrivals.heldBackInARow("s", 2)).isEqualTo(0);
    }
}
