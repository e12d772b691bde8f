/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.OptionalDouble;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Engines that are slower or faster, or have more or less memory, are served alike: with all times
 * multiplied by one factor and all tokens of memory by another, each rule decides the same.
 */
final class EngineScaleTest {
    private static final int CASES = 300;
    private static final double MEMORY_TOKENS = 41_000;
    private static final double MILLIS_PER_TOKEN = 0.03;
    private static final double TARGET_MILLIS = 900;
    private static final double PAUSE_MILLIS = 300;

    @ParameterizedTest
    @CsvSource({"0.25, 1", "0.5, 4", "2, 0.25", "4, 0.5", "4, 4", "1, 0.25"})
    void rulesDecideAlikeAtAnySpeedAndMemory(double time, double memory) {
        assertThat(decisions(new LearnedSpeed(time, memory))).isEqualTo(reference());
    }

    /** Shows that the comparison notices a figure that does not follow the engines. */
    @Test
    void aPresetSpeedIsNoticed() {
        SpeedSource preset =
                new SpeedSource(4, 1, (time, memory) -> new EngineSpeedEstimator().speed());
        assertThat(decisions(preset)).isNotEqualTo(reference());
    }

    private static List<String> reference() {
        return decisions(new LearnedSpeed(1, 1));
    }

    /** Supplies the speed of engines that are {@code time} times as slow, from observations. */
    private static class SpeedSource {
        private final double mTime;
        private final double mMemory;
        private final EngineSpeed mSpeed;

        SpeedSource(double time, double memory, Speed speed) {
            mTime = time;
            mMemory = memory;
            mSpeed = speed.of(time, memory);
        }
    }

    @FunctionalInterface
    private interface Speed {
        EngineSpeed of(double time, double memory);
    }

    private static final class LearnedSpeed extends SpeedSource {
        LearnedSpeed(double time, double memory) {
            super(time, memory, LearnedSpeed::learn);
        }

        private static EngineSpeed learn(double time, double memory) {
            EngineSpeedEstimator estimator = new EngineSpeedEstimator();
            SplittableRandom random = new SplittableRandom(5);
            for (int i = 0; i < 400; i++) {
                double noise = 0.7 + 0.6 * random.nextDouble();
                int tokens = (int) Math.round(4_000 * memory);
                double prefillMillis = tokens * MILLIS_PER_TOKEN / memory * time * noise;
                estimator.observePrefill(tokens, prefillMillis);
                estimator.observeDecodePrefill(tokens, 2.2 * prefillMillis);
                estimator.observeFirstToken(250 * time * noise);
                estimator.observeOutput(600 * memory, 3_300 * time * noise);
            }
            return estimator.speed();
        }
    }

    private static List<String> decisions(SpeedSource source) {
        double time = source.mTime;
        double memory = source.mMemory;
        EngineSpeed speed = source.mSpeed;
        SplittableRandom random = new SplittableRandom(17);
        List<String> lines = new ArrayList<>();
        for (int i = 0; i < CASES; i++) {
            // Whole multiples, so that each factor leaves whole tokens.
            int prompt = (int) Math.round(4 * (100 + random.nextInt(1_500)) * memory);
            int queue = (int) Math.round(4 * random.nextInt(6_000) * memory);
            double share = random.nextDouble();
            double targetMillis = TARGET_MILLIS * time;
            Duration target = Duration.ofNanos((long) (targetMillis * 1e6));
            double queueMillis = speed.prefillEngineMillis(prompt + queue);
            double ownMillis = speed.prefillEngineMillis(prompt);
            OptionalDouble expectedMillis = OptionalDouble.of(queueMillis);
            lines.add(PrefillRule.choose(expectedMillis, ownMillis, targetMillis).name());
            double idleMillis = speed.decodeEngineMillis(prompt);
            boolean isIdle = PrefillRule.isNearlyIdle(idleMillis, share, 0, PAUSE_MILLIS * time);
            lines.add("idle " + isIdle);
            lines.add("fits " + fits(random, memory));
            double workMillis = speed.requestMillis(prompt);
            lines.add(rounded("full", UpstreamCost.memoryMillis(share, workMillis) / workMillis));
            Duration left = target.multipliedBy(15);
            Duration silence = PrefillTimeoutRule.responseTimeout(queueMillis, target, left);
            lines.add(shareOf("silent", silence, target));
            Duration back = RetryAfter.engines(speed, new SplittableRandom(i));
            lines.add(shareOf("back", back, target));
            Duration wait = MemoryWaitRule.forNewRequest(2 * share, target);
            lines.add(shareOf("wait", wait, target));
        }
        return lines;
    }

    private static boolean fits(SplittableRandom random, double memory) {
        List<MemoryForecast.Sequence> sequences = new ArrayList<>();
        for (int count = 1 + random.nextInt(14); count > 0; count--) {
            double expected = (200 + random.nextInt(1_000)) * memory;
            sequences.add(
                    new MemoryForecast.Sequence(
                            (500 + random.nextInt(6_000)) * memory,
                            random.nextDouble() * expected,
                            expected,
                            3 * expected));
        }
        return MemoryRule.fits(sequences, MEMORY_TOKENS * memory);
    }

    private static String shareOf(String name, Duration duration, Duration target) {
        return rounded(name, duration.toNanos() / (double) target.toNanos());
    }

    private static String rounded(String name, double share) {
        return String.format(Locale.ROOT, "%s %.4f", name, share);
    }
}
