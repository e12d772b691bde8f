/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.daemon.internal;

import java.io.IOException;
import java.util.concurrent.TimeoutException;
import org.orchidmount.internal.http.AbortCause;
import org.orchidmount.upstream.TokenChunk;

/**
 * Gives the tokens of an answer to its caller. Used by one thread.
 *
 * <p>Invariant: of {@link #complete} and {@link #fail} exactly one is called, once, and nothing
 * after it.
 */
interface AnswerWriter {
    /**
     * Takes the next token.
     *
     * @param chunk the token as the engine sent it
     * @param offset its position in the caller's answer
     * @param source where the stream can be taken up if the caller's connection breaks
     */
    void token(TokenChunk chunk, int offset, ResumeTokens.Resumable source)
            throws IOException, TimeoutException, InterruptedException;

    /** Ends an answer that is whole. */
    void complete() throws IOException, TimeoutException, InterruptedException;

    /**
     * Refuses an answer that has not begun, and gives one up that has.
     *
     * @param refusal what the caller is told
     * @param cause why the answer is given up, if it has begun
     */
    void fail(Refusal refusal, AbortCause cause)
            throws IOException, TimeoutException, InterruptedException;
}
