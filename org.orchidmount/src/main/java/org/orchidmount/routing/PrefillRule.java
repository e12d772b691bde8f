/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import java.util.OptionalDouble;

/**
 * Why a prompt is prefilled here: by a prefill engine (split, also called disaggregated), or by the
 * decode engine that generates the output (unsplit, co-located). Pure.
 *
 * <p>A decode engine prefills at half the pace, and between the tokens of others, whose streams
 * then pause. So it prefills only while no prefill engine can be had, or where those are busy and
 * the decode engine is nearly idle. Always prefilling at decode engines was tried and lost (round
 * a8ce7c27 in docs/ROUNDS.md). How long a prefill takes is learned ({@link EnginePace}).
 */
public final class PrefillRule {
    /** Share of the target beyond which an idle decode engine is better. */
    private static final double BUSY_SHARE = 0.6;

    /** Share of the target beyond which the first token would come too late. */
    private static final double LATE_SHARE = 0.85;

    /**
     * Times the prefill itself that it may take before the prefill engines count as busy: a prompt
     * that no queue delays would come no sooner by waiting, however slow they are.
     */
    private static final double QUEUED_FACTOR = 2;

    /** Share of its memory below which a decode engine has few streams to hold up. */
    private static final double IDLE_MEMORY_SHARE = 0.8;

    /** Share of the longest harmless pause that a prefill may take; leaves room. */
    private static final double PAUSE_SHARE = 0.8;

    private PrefillRule() {}

    /** Where a prompt is prefilled. */
    public enum Choice {
        /** At a prefill engine. */
        SPLIT,
        /** At the decode engine, however busy that is. */
        UNSPLIT,
        /** At a nearly idle decode engine if there is one, else at a prefill engine. */
        UNSPLIT_IF_IDLE_ELSE_SPLIT,
        /** At a nearly idle decode engine; without one the request waits. */
        UNSPLIT_IF_IDLE
    }

    /**
     * Chooses by the load of the prefill engines.
     *
     * @param prefillMillis when the best prefill engine is expected to be done; empty if none takes
     *     work
     * @param ownMillis how long a prefill engine takes for this prompt alone
     * @param targetMillis the time to the first token that is of full use
     * @return the choice
     */
    public static Choice choose(
            OptionalDouble prefillMillis, double ownMillis, double targetMillis) {
        double millis = prefillMillis.orElse(UpstreamHealth.EJECTED_MILLIS);
        if (millis >= UpstreamHealth.EJECTED_MILLIS) {
            return Choice.UNSPLIT;
        }
        if (millis <= QUEUED_FACTOR * ownMillis) {
            return Choice.SPLIT;
        }
        if (millis > LATE_SHARE * targetMillis) {
            return Choice.UNSPLIT_IF_IDLE;
        }
        boolean busy = millis > BUSY_SHARE * targetMillis;
        return busy ? Choice.UNSPLIT_IF_IDLE_ELSE_SPLIT : Choice.SPLIT;
    }

    /**
     * Tells whether a decode engine may prefill while the prefill engines are busy: it holds up few
     * streams, and those not for too long.
     *
     * @param prefillMillis how long the engine takes to prefill the prompt
     * @param memoryShare the share of the engine's memory in use
     * @param backlogTokens the tokens that it has yet to prefill
     * @param longestPauseMillis the longest pause of a stream that does no harm
     * @return true if it may
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
}
