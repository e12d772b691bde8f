/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.waiting;

import java.util.ArrayList;
import java.util.List;
import org.orchidmount.routing.MemoryForecast;
import org.orchidmount.routing.MemoryRule;

/**
 * Forecasts when one engine has capacity for a request, by its memory and its slots. Immutable and
 * thread-safe.
 *
 * <p>Whether there is capacity now is decided by {@link MemoryRule}, as for a placement. Otherwise
 * the memory that is missing is compared with what an average sequence of the engine accounts for,
 * which gives the number of sequences that must end; they end at the rate that follows from the
 * tokens that each is expected to have left. A schedule in which each sequence ends at its median
 * was ruled out: it was ten times too late for the first of 20 engines, because the likely peak of
 * an engine also falls while its sequences progress.
 */
public final class RoomForecast {
    /** Result of {@link #millisToRoom} for a request that never fits. */
    public static final double NEVER = Double.POSITIVE_INFINITY;

    /** Slope of the distribution of output lengths that {@link MemoryForecast} assumes. */
    private static final double LENGTH_SLOPE = 1.702 / 0.4;

    /** Fraction of the expected output that a request adds to the likely peak of an engine. */
    private static final double OUTPUT_SHARE = 0.6;

    /**
     * Fraction of the prompt that a request adds at least to the likely peak of an engine; avoids
     * the exact forecast for engines that are clearly full.
     */
    private static final double LEAST_PROMPT_SHARE = 0.5;

    /**
     * Lower bound of the number of sequences that must end. With a bound of 1, the forecast was
     * half of the time after which engines with random outputs had room.
     */
    private static final double LEAST_ENDS = 2;

    private final Engine mEngine;
    private final double mPeakTokens;
    private final int mOutputs;
    private final double mEndsPerMilli;

    /**
     * The state of an engine. Immutable.
     *
     * @param id the engine's id
     * @param memoryTokens KV cache memory, in tokens
     * @param slots number of requests that it runs concurrently
     * @param outputTokensPerMilli tokens generated per millisecond for one output
     * @param firstTokenMillis time from a placement to its first token
     * @param sequences the sequences in flight at the engine, as of now
     */
    public record Engine(
            String id,
            double memoryTokens,
            int slots,
            double outputTokensPerMilli,
            double firstTokenMillis,
            List<MemoryForecast.Sequence> sequences) {
        /** Copies the list. */
        public Engine {
            sequences = List.copyOf(sequences);
        }

        /**
         * Returns whether a slot is free.
         *
         * @return true if the engine runs fewer requests than it can
         */
        public boolean hasFreeSlot() {
            return sequences.stream().filter(one -> !isPrefill(one)).count() < slots;
        }

        /**
         * Returns a copy with one more sequence.
         *
         * @param sequence the sequence
         * @return the copy
         */
        public Engine with(MemoryForecast.Sequence sequence) {
            List<MemoryForecast.Sequence> all = new ArrayList<>(sequences);
            all.add(sequence);
            return new Engine(id, memoryTokens, slots, outputTokensPerMilli, firstTokenMillis, all);
        }
    }

    /**
     * Creates the forecast of an engine.
     *
     * @param engine the engine
     */
    public RoomForecast(Engine engine) {
        mEngine = engine;
        mPeakTokens = MemoryForecast.peakTokens(engine.sequences());
        int outputs = 0;
        double endsPerMilli = 0;
        for (MemoryForecast.Sequence sequence : engine.sequences()) {
            if (!isPrefill(sequence)) {
                outputs++;
                endsPerMilli += 1 / millisLeft(sequence);
            }
        }
        mOutputs = outputs;
        mEndsPerMilli = endsPerMilli;
    }

    private static boolean isPrefill(MemoryForecast.Sequence sequence) {
        return sequence.maxOutputTokens() == 0;
    }

    private double millisLeft(MemoryForecast.Sequence sequence) {
        double firstMillis = sequence.generatedTokens() > 0 ? 0 : mEngine.firstTokenMillis();
        return firstMillis + tokensLeft(sequence) / mEngine.outputTokensPerMilli();
    }

    /** Returns the median of the remaining length, given the number of generated tokens. */
    private static double tokensLeft(MemoryForecast.Sequence sequence) {
        double expected = Math.max(1, sequence.expectedTokens());
        double generated = Math.max(0, sequence.generatedTokens());
        double odds = 1 + 2 * Math.pow(generated / expected, LENGTH_SLOPE);
        double length = expected * Math.pow(odds, 1 / LENGTH_SLOPE);
        return Math.max(1, Math.min(length, sequence.maxOutputTokens()) - generated);
    }

    /**
     * Returns the engine.
     *
     * @return the engine
     */
    public Engine engine() {
        return mEngine;
    }

    /**
     * Returns whether the engine has capacity for a request now.
     *
     * @param request the request before its first output token
     * @param availableTokens the part of the memory that the request may use
     * @return true if a slot is free and the memory suffices
     */
    public boolean hasRoom(MemoryForecast.Sequence request, double availableTokens) {
        double leastTokens = mPeakTokens + LEAST_PROMPT_SHARE * request.promptTokens();
        if (mOutputs >= mEngine.slots() || leastTokens > availableTokens) {
            return false;
        }
        List<MemoryForecast.Sequence> all = new ArrayList<>(mEngine.sequences());
        all.add(request);
        return MemoryRule.fits(all, availableTokens);
    }

    /**
     * Returns the expected time until the engine, which has no capacity for a request now, has it.
     *
     * @param request the request before its first output token
     * @param availableTokens the part of the memory that the request may use
     * @return milliseconds; {@link #NEVER} if it has nothing to wait for
     */
    public double millisToRoom(MemoryForecast.Sequence request, double availableTokens) {
        if (mOutputs == 0 || request.promptTokens() > availableTokens) {
            return NEVER;
        }
        double missingTokens = mPeakTokens + neededTokens(request) - availableTokens;
        double endsForSlot = Math.max(0, mOutputs + 1 - mEngine.slots());
        if (missingTokens <= 0 && endsForSlot > 0) {
            return endsForSlot / mEndsPerMilli;
        }
        double endsForMemory = Math.max(LEAST_ENDS, missingTokens * mOutputs / mPeakTokens);
        double ends = Math.max(Math.min(mOutputs, endsForMemory), endsForSlot);
        return ends / mEndsPerMilli;
    }

    /**
     * Returns what a request adds to the likely peak of an engine.
     *
     * @param request the request before its first output token
     * @return tokens
     */
    public static double neededTokens(MemoryForecast.Sequence request) {
        return request.promptTokens() + OUTPUT_SHARE * request.expectedTokens();
    }
}
