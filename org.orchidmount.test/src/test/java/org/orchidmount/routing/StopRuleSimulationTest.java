/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.orchidmount.routing.OutputLengthEstimator.StatedLength;

/** Measures both errors of {@code StopRule} over distributions of lengths and of hints. */
final class StopRuleSimulationTest {
    private static final int REQUESTS = 20_000;
    private static final int SEEDS = 5;
    private static final double MEDIAN_TOKENS = 800;
    private static final double LENGTH_DEVIATION = 0.9;

    /** One token per millisecond: the time that is left is the number of tokens. */
    private static final EngineSpeed SPEED = new EngineSpeed(0.02, 0.04, 1, 0, 0);

    private static final int LONGEST_MILLIS = 4_000;

    /** How many refusals are as bad as one cut. */
    private static final int CUT_COST = 10;

    /** How hints relate to lengths. */
    private enum Hints {
        EXACT,
        USUAL,
        WIDE,
        LOW,
        TWO_KINDS,
        NONE
    }

    /** What became of the requests of one rule. */
    private static final class Counts {
        private int mBegun;
        private int mCut;
        private int mRefusedFitting;

        void add(boolean isBegun, boolean isFitting) {
            mBegun += isBegun ? 1 : 0;
            mCut += isBegun && !isFitting ? 1 : 0;
            mRefusedFitting += !isBegun && isFitting ? 1 : 0;
        }

        int cost() {
            return CUT_COST * mCut + mRefusedFitting;
        }

        @Override
        public String toString() {
            return "begun %d, cut %d, refused though fitting %d, cost %d"
                    .formatted(mBegun, mCut, mRefusedFitting, cost());
        }
    }

    /**
     * Guards against a rule that begins what is then cut, and against one that refuses what would
     * have ended: the shares are of all requests, after some observed outputs.
     */
    @ParameterizedTest
    @CsvSource({
        // Hints, observed outputs, most cut, most refused though fitting.
        "EXACT, 200, 0.001, 0.001",
        "USUAL, 200, 0.01, 0.17",
        "WIDE, 200, 0.015, 0.27",
        "LOW, 200, 0.001, 0.005",
        "TWO_KINDS, 200, 0.001, 0.27",
        "NONE, 200, 0.025, 0.31",
        "USUAL, 0, 0.01, 0.13",
        "LOW, 20, 0.001, 0.005",
        "NONE, 0, 0.035, 0.2"
    })
    void costsLessThanTheMedian(Hints hints, int observed, double mostCut, double mostRefused) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            OutputLengthEstimator lengths = new OutputLengthEstimator();
            for (int i = 0; i < observed; i++) {
                Request request = request(hints, random);
                lengths.observe(request.stated());
                lengths.observeOutput(request.stated(), request.actualTokens());
            }
            Counts median = new Counts();
            Counts rule = new Counts();
            for (int i = 0; i < REQUESTS; i++) {
                Request request = request(hints, random);
                int millis = random.nextInt(LONGEST_MILLIS);
                boolean isFitting = request.actualTokens() <= millis;
                lengths.observe(request.stated());
                median.add(lengths.expect(request.stated()) <= millis, isFitting);
                rule.add(mayBegin(lengths, request.stated(), millis), isFitting);
            }
            String seen = "%s, seed %d: median %s; rule %s".formatted(hints, seed, median, rule);
            assertWithMessage(seen).that(rule.cost()).isAtMost(median.cost() * 2 / 3);
            assertWithMessage(seen).that(rule.mCut / (double) REQUESTS).isAtMost(mostCut);
            assertWithMessage(seen)
                    .that(rule.mRefusedFitting / (double) REQUESTS)
                    .isAtMost(mostRefused);
        }
    }

    private static boolean mayBegin(
            OutputLengthEstimator lengths, StatedLength stated, int millis) {
        OutputForecast output = lengths.forecast(stated, 0);
        return StopRule.mayBegin(Duration.ofMillis(millis), 0, output, Optional.of(SPEED));
    }

    private record Request(StatedLength stated, int actualTokens) {}

    private static Request request(Hints hints, SplittableRandom random) {
        double actual = MEDIAN_TOKENS * Math.exp(LENGTH_DEVIATION * random.nextGaussian());
        double hint =
                switch (hints) {
                    case EXACT -> actual;
                    case USUAL -> actual * Math.exp(0.38 * random.nextGaussian());
                    case WIDE -> actual * Math.exp(0.9 * random.nextGaussian());
                    case LOW -> actual / 2;
                    case TWO_KINDS -> random.nextInt(5) == 0 ? actual / 3 : actual / 0.6;
                    case NONE -> 0;
                };
        int actualTokens = (int) Math.max(1, actual);
        int hintTokens = hints == Hints.NONE ? 0 : (int) Math.max(1, hint);
        int maxTokens = (int) (actualTokens * (1 + 4 * random.nextDouble()));
        return new Request(new StatedLength(hintTokens, maxTokens), actualTokens);
    }
}
