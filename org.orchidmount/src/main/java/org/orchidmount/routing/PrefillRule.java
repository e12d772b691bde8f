/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import java.util.OptionalDouble;

/**
 * Decides where a prompt is prefilled: by a prefill engine (split, also called disaggregated), or
 * by the decode engine that generates the output (unsplit, also called co-located). Pure.
 *
 * <p>A decode engine prefills at half the speed of a prefill engine, and it interleaves the prefill
 * with token generation, so that its other streams pause. It therefore prefills only if no prefill
 * engine is available, or if the prefill engines are busy and the decode engine is nearly idle.
 * Always prefilling on decode engines gave worse results in trials. Prefill times are estimated
 * from observations ({@link EngineSpeed}).
 */
public final class PrefillRule {
    /** Fraction of the latency target above which an idle decode engine is preferred. */
    private static final double BUSY_SHARE = 0.6;

    /** Fraction of the latency target above which the first token would be late. */
    private static final double LATE_SHARE = 0.85;

    /**
     * Ratio of the expected completion time to the time of the prefill itself above which the
     * prefill engines count as busy. A prompt that is not delayed by a queue gains nothing by
     * waiting, however slow the engines are.
     */
    private static final double BUSY_FACTOR = 2;

    /**
     * Fraction of its memory below which a decode engine has few streams that a prefill would
     * delay.
     */
    private static final double IDLE_MEMORY_SHARE = 0.8;

    /**
     * Fraction of the longest harmless pause that a prefill may take; the rest is a safety margin.
     */
    private static final double PAUSE_SHARE = 0.8;

    private PrefillRule() {}

    /** Where a prompt is prefilled. */
    public enum Choice {
        /** On a prefill engine. */
        SPLIT,
        /** On the decode engine, however busy it is. */
        UNSPLIT,
        /** On a nearly idle decode engine if there is one, otherwise on a prefill engine. */
        UNSPLIT_IF_IDLE_ELSE_SPLIT,
        /** On a nearly idle decode engine; without one, the request waits. */
        UNSPLIT_IF_IDLE
    }

    /**
     * Chooses where to prefill, by the load of the prefill engines.
     *
     * @param prefillMillis expected completion time on the best prefill engine; empty if none
     *     accepts work
     * @param unqueuedMillis time that a prefill engine takes for this prompt without a queue
     * @param targetMillis latency target for the first token
     * @return the choice
     */
    public static Choice choose(
            OptionalDouble prefillMillis, double unqueuedMillis, double targetMillis) {
        double millis = prefillMillis.orElse(UpstreamHealth.EJECTED_MILLIS);
        if (millis >= UpstreamHealth.EJECTED_MILLIS) {
            return Choice.UNSPLIT;
        }
        if (millis <= BUSY_FACTOR * unqueuedMillis) {
            return Choice.SPLIT;
        }
        if (millis > LATE_SHARE * targetMillis) {
            return Choice.UNSPLIT_IF_IDLE;
        }
        boolean busy = millis > BUSY_SHARE * targetMillis;
        return busy ? Choice.UNSPLIT_IF_IDLE_ELSE_SPLIT : Choice.SPLIT;
    }

    /**
     * Returns whether a decode engine may prefill while the prefill engines are busy. It may if it
     * delays few streams, and those only briefly.
     *
     * @param prefillMillis time that the engine takes to prefill the prompt
     * @param memoryShare fraction of the engine's memory in use
     * @param backlogTokens tokens that the engine has yet to prefill
     * @param longestPauseMillis longest pause of a stream that does no harm
     * @return true if the engine may prefill
     */
    public static boolean isNearlyIdle(
            double prefillMillis,
            double memoryShare,
            int backlogTokens,
            double longestPauseMillis) {
        return memoryShare < IDLE_MEMORY_SHARE
                && backlogTokens == 0
                && prefillMillis < PAUSE_SHARE * longestPauseMillis;
    }

    /**
     * Returns whether a prefill on a decode engine would pause its other streams for too long.
     *
     * @param prefillMillis time that the engine takes to prefill the prompt
     * @param usedMemoryTokens memory that its streams use
     * @param longestPauseMillis longest pause of a stream that does no harm
     * @return true if the engine has streams and a pause would harm them
     */
    public static boolean pausesTooLong(
            double prefillMillis, double usedMemoryTokens, double longestPauseMillis) {
        return usedMemoryTokens > 0 && prefillMillis > longestPauseMillis;
    }
}
