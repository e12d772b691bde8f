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
 * streams then pause; a prompt read elsewhere has to be moved, which costs link time. So prompts
 * are read elsewhere unless that takes much longer.
 */
final class StagePolicy {
    /** What a prefill engine reads in a millisecond, before its slowness is known. */
    static final double PREFILL_TOKENS_PER_MILLI = 50;

    /** What an answering engine reads in a millisecond, before its slowness is known. */
    static final double WHOLE_TOKENS_PER_MILLI = 25;

    /** The work of an answer besides its prompt. */
    static final double ANSWER_MILLIS = 40;

    private final double mPauseMillis;

    /**
     * Creates a policy.
     *
     * @param pauseMillis what the pauses of other streams are counted as
     */
    StagePolicy(double pauseMillis) {
        mPauseMillis = pauseMillis;
    }

    /**
     * Decides.
     *
     * @param wholeMillis the time to the answer at the best answering engine
     * @param prefillMillis the time to the read prompt at the best prefill engine, if there is one
     * @return true if the prompt is to be read by a prefill engine
     */
    boolean isSplit(double wholeMillis, Optional<Double> prefillMillis) {
        return prefillMillis.isPresent() && prefillMillis.get() < wholeMillis + mPauseMillis;
    }
}
