/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.waiting;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.orchidmount.routing.MemoryForecast;

/** The time at which an engine has capacity is forecast from its sequences. */
final class RoomForecastTest {
    private static final double TOKENS_PER_MILLI = 1.5;
    private static final double FIRST_TOKEN_MILLIS = 200;
    private static final int MEMORY_TOKENS = 74_000;

    private static RoomForecast.Engine engine(int slots, List<MemoryForecast.Sequence> sequences) {
        return new RoomForecast.Engine(
                "e", MEMORY_TOKENS, slots, TOKENS_PER_MILLI, FIRST_TOKEN_MILLIS, sequences);
    }

    private static MemoryForecast.Sequence output(double prompt, double generated) {
        return new MemoryForecast.Sequence(prompt, generated, 4_900, Integer.MAX_VALUE);
    }

    private static MemoryForecast.Sequence prefill(double prompt) {
        return new MemoryForecast.Sequence(prompt, 0, 0, 0);
    }

    @ParameterizedTest
    @CsvSource({
        // slots, outputs, prefills, prompt of each, has room
        "12, 0, 0, 5000, true",
        "2, 1, 0, 5000, true",
        "2, 2, 0, 5000, false",
        "2, 1, 5, 100, true",
        "12, 3, 0, 5000, true",
        "12, 7, 0, 9000, false",
    })
    void roomNowCountsMemoryAndSlots(
            int slots, int outputs, int prefills, int prompt, boolean hasRoom) {
        List<MemoryForecast.Sequence> sequences = new ArrayList<>();
        for (int i = 0; i < outputs; i++) {
            sequences.add(output(prompt, 100));
        }
        for (int i = 0; i < prefills; i++) {
            sequences.add(prefill(prompt));
        }
        assertThat(
                        new RoomForecast(engine(slots, sequences))
                                .hasRoom(output(5_000, 0), MEMORY_TOKENS))
                .isEqualTo(hasRoom);
    }

    @Test
    void aSlotIsFreeWhenASequenceEnds() {
        RoomForecast forecast = new RoomForecast(engine(1, List.of(output(100, 4_000))));
        // The median of the lengths above 4,000 tokens is some 5,800 tokens.
        assertThat(forecast.millisToRoom(output(100, 0), MEMORY_TOKENS))
                .isWithin(100)
                .of(1_800 / TOKENS_PER_MILLI);
    }

    @Test
    void aRequestBeyondTheMemoryNeverFits() {
        RoomForecast forecast = new RoomForecast(engine(2, List.of(output(100, 1))));
        assertThat(forecast.millisToRoom(output(90_000, 0), MEMORY_TOKENS))
                .isEqualTo(RoomForecast.NEVER);
    }

    /**
     * Guards against a forecast that is wrong by a multiple: engines full by the exact rule,
     * outputs of random length, and the time at which one of them has room by the exact rule.
     */
    @ParameterizedTest
    @CsvSource({"1", "3", "20"})
    void theForecastIsNearTheRoom(int engines) {
        SplittableRandom random = new SplittableRandom(11);
        int runs = 400;
        double sumForecast = 0;
        double sumActual = 0;
        int refused = 0;
        for (int run = 0; run < runs; run++) {
            double perMilli = 0;
            double actual = RoomForecast.NEVER;
            MemoryForecast.Sequence candidate = output(2_000 + random.nextInt(6_000), 0);
            for (int i = 0; i < engines; i++) {
                RandomEngine engine = new RandomEngine(random, candidate);
                perMilli +=
                        1 / new RoomForecast(engine.at(0)).millisToRoom(candidate, MEMORY_TOKENS);
                actual = Math.min(actual, engine.millisToRoom(candidate));
            }
            sumForecast += 1 / perMilli;
            sumActual += actual;
            refused += 0.1 / perMilli > actual ? 1 : 0;
        }
        assertThat(sumForecast / sumActual).isWithin(0.35).of(1);
        assertThat((double) refused / runs).isAtMost(0.1);
    }

    /** An engine that is full for a candidate, whose outputs end at random lengths. */
    private static final class RandomEngine {
        private final List<MemoryForecast.Sequence> mSequences = new ArrayList<>();
        private final List<Double> mLengths = new ArrayList<>();

        RandomEngine(SplittableRandom random, MemoryForecast.Sequence candidate) {
            while (new RoomForecast(engine(12, mSequences)).hasRoom(candidate, MEMORY_TOKENS)) {
                double expected = 4_900 * Math.exp(0.3 * random.nextGaussian());
                double length = expected * Math.exp(0.38 * random.nextGaussian());
                double generated = random.nextDouble() * length;
                mLengths.add(length);
                mSequences.add(
                        new MemoryForecast.Sequence(
                                1_000 + random.nextInt(8_000),
                                generated,
                                expected,
                                Integer.MAX_VALUE));
            }
        }

        RoomForecast.Engine at(double millis) {
            List<MemoryForecast.Sequence> left = new ArrayList<>();
            for (int i = 0; i < mSequences.size(); i++) {
                MemoryForecast.Sequence one = mSequences.get(i);
                double generated = one.generatedTokens() + millis * TOKENS_PER_MILLI;
                if (generated < mLengths.get(i)) {
                    left.add(
                            new MemoryForecast.Sequence(
                                    one.promptTokens(),
                                    generated,
                                    one.expectedTokens(),
                                    one.maxOutputTokens()));
                }
            }
            return engine(12, left);
        }

        double millisToRoom(MemoryForecast.Sequence candidate) {
            for (double millis = 10; true; millis += 10) {
                if (new RoomForecast(at(millis)).hasRoom(candidate, MEMORY_TOKENS)) {
                    return millis;
                }
            }
        }
    }
}
