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
 * and a request that would wait too long for one is refused at once.
 */
final class StagePolicy {
    /** What a prefill engine reads in a millisecond, before its slowness is known. */
    static final double PREFILL_TOKENS_PER_MILLI = 50;

    /** What an answering engine reads in a millisecond, before its slowness is known. */
    static final double WHOLE_TOKENS_PER_MILLI = 25;

    /** The work of an answer besides its prompt. */
    static final double ANSWER_MILLIS = 40;

    private static final double TARGET_SHARE = 0.9;

    private StagePolicy() {}

    /** What is to be done with a prompt. */
    enum Choice {
        /** A prefill engine reads it. */
        SPLIT,
        /** The engine that answers reads it. */
        WHOLE,
        /** It would be read too late. */
        REFUSE
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
        return prefillMillis.get() > TARGET_SHARE * targetMillis ? Choice.REFUSE : Choice.SPLIT;
    }
}
