/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import java.util.Optional;

/**
 * Decides whether a prompt is read by a prefill engine or by the engine that answers. Pure.
 *
 * <p>An engine that answers reads prompts at half pace and between the tokens of others, whose
 * streams then pause too long. So prompts are read there only while no prefill engine can be had,
 * or where those have too much to do and an answering engine has little.
 */
final class StagePolicy {
    /** What a prefill engine reads in a millisecond, before its slowness is known. */
    static final double PREFILL_TOKENS_PER_MILLI = 50;

    /** What an answering engine reads in a millisecond, before its slowness is known. */
    static final double WHOLE_TOKENS_PER_MILLI = 25;

    /** The work of an answer besides its prompt. */
    static final double ANSWER_MILLIS = 40;

    /** Beyond this share of the target an idle engine is the better one. */
    private static final double BUSY_SHARE = 0.6;

    /** Beyond this share of the target the first event would come too late. */
    private static final double LATE_SHARE = 0.85;

    /** An engine with less of its memory taken has few streams that a reading holds up. */
    private static final double IDLE_SHARE = 0.5;

    /** The share of the longest pause of a stream that the reading of a prompt may take. */
    private static final double PAUSE_SHARE = 0.8;

    private StagePolicy() {}

    /** What is to be done with a prompt. */
    enum Choice {
        /** A prefill engine reads it. */
        SPLIT,
        /** The engine that answers reads it. */
        WHOLE,
        /** An engine that answers reads it if one has little to do, else a prefill engine. */
        WHOLE_IF_IDLE_ELSE_SPLIT,
        /** An engine that answers reads it if one has little to do; else it would be too late. */
        WHOLE_IF_IDLE
    }

    /**
     * Decides.
     *
     * @param prefillMillis the time to the read prompt at the best prefill engine, if one takes
     *     work
     * @param targetMillis the time within which an answer is of full use
     * @return the choice
     */
    static Choice choose(Optional<Double> prefillMillis, double targetMillis) {
        boolean none = prefillMillis.isEmpty() || prefillMillis.get() >= Upstream.AVOIDED_MILLIS;
        if (none) {
            return Choice.WHOLE;
        }
        if (prefillMillis.get() > LATE_SHARE * targetMillis) {
            return Choice.WHOLE_IF_IDLE;
        }
        boolean busy = prefillMillis.get() > BUSY_SHARE * targetMillis;
        return busy ? Choice.WHOLE_IF_IDLE_ELSE_SPLIT : Choice.SPLIT;
    }

    /**
     * Tells whether an answering engine may read a prompt while the prefill engines are busy.
     *
     * @param promptTokens the tokens of the prompt
     * @param memoryShare the share of the engine's memory that answers take
     * @param readingTokens what it is reading already
     * @param longestPauseMillis the longest pause of a stream that does no harm
     * @return true if it holds up few streams, and those not for too long
     */
    static boolean isIdle(
            int promptTokens, double memoryShare, int readingTokens, double longestPauseMillis) {
        double readMillis = promptTokens / WHOLE_TOKENS_PER_MILLI;
        return memoryShare < IDLE_SHARE
                && readingTokens == 0
                && readMillis < PAUSE_SHARE * longestPauseMillis;
    }
}
