/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.daemon.internal;

import com.codahale.metrics.Histogram;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.orchidmount.errors.Attempt;
import org.orchidmount.errors.CallFailedException;
import org.orchidmount.errors.Failure;
import org.orchidmount.errors.Step;
import org.orchidmount.internal.http.Peer;
import org.orchidmount.internal.log.PartLog;
import org.orchidmount.upstream.CancelSignal;
import org.orchidmount.upstream.TokenChunk;
import org.orchidmount.upstream.TokenStream;

/**
 * Carries the tokens of one decode engine to an answer and takes a broken stream up again where it
 * broke.
 *
 * <p>Invariant: each offset of the answer is given to the writer once, in order. Used by one
 * thread.
 */
final class TokenRelay {
    private static final PartLog LOG = PartLog.of("relay");

    /** How often a stream is taken up in a row without a token in between. */
    private static final int MAX_RESUMES = 2;

    private final Parts mParts;
    private final Peer mEngine;
    private final ResumeTokens.Resumable mSource;
    private final AnswerWriter mWriter;
    private final CancelSignal mCancel;
    private final TokenListener mListener;
    private final Histogram mGaps;
    private int mNextOffset;
    private long mLastNanos;

    /**
     * Creates a relay.
     *
     * @param source engine, ids and the offset of the engine's first token in the answer
     * @param nextOffset the next offset of the answer
     * @param listener called with each token that was given to the writer
     */
    TokenRelay(
            Parts parts,
            Peer engine,
            ResumeTokens.Resumable source,
            int nextOffset,
            AnswerWriter writer,
            CancelSignal cancel,
            TokenListener listener) {
        mParts = parts;
        mEngine = engine;
        mSource = source;
        mNextOffset = nextOffset;
        mWriter = writer;
        mCancel = cancel;
        mListener = listener;
        mGaps = parts.metrics().histogram("request.token.gap.micros");
    }

    /**
     * Relays until the answer has ended.
     *
     * @param first the stream at the next offset
     * @return null if the answer is whole, else why it is not
     */
    Failure run(TokenStream first) throws InterruptedException {
        TokenStream stream = first;
        int resumes = 0;
        while (true) {
            int before = mNextOffset;
            Failure failure = drain(stream);
            boolean elsewhere = failure instanceof Failure.Superseded;
            if (failure == null || elsewhere || mCancel.isCancelled()) {
                return failure;
            }
            resumes = mNextOffset > before ? 1 : resumes + 1;
            if (resumes > MAX_RESUMES) {
                return failure;
            }
            LOG.info("%s: %s; resume at %d", mSource.requestId(), failure.describe(), mNextOffset);
            switch (resume()) {
                case Attempt.Done<TokenStream>(TokenStream resumed) -> stream = resumed;
                case Attempt.Failed<TokenStream>(Failure notResumed) -> {
                    LOG.info("%s: not resumed: %s", mSource.requestId(), notResumed.describe());
                    return failure;
                }
            }
        }
    }

    /** Asks the engine to go on from the next offset. */
    Attempt<TokenStream> resume() {
        mParts.metrics().meter("engine.streams.resumed").mark();
        int engineOffset = mNextOffset - mSource.baseOffset();
        return mParts.engines().resume(mEngine, mSource.engineRequestId(), engineOffset, mCancel);
    }

    /**
     * Relays one stream. The token with a finish reason makes the answer whole; how the stream ends
     * after it no longer matters to the caller.
     */
    private Failure drain(TokenStream stream) throws InterruptedException {
        try {
            for (TokenChunk chunk = stream.next(); chunk != null; chunk = stream.next()) {
                deliver(chunk);
                if (chunk.finishReason() != null) {
                    mParts.cleaner().finish(stream, mEngine, mSource.engineRequestId());
                    return null;
                }
            }
            throw new IllegalStateException("a stream ended without a finish reason");
        } catch (CallFailedException e) {
            stream.close();
            return e.failure();
        } catch (IOException | TimeoutException e) {
            stream.close();
            mCancel.cancel(CancelSignal.Reason.CALLER_GONE);
            return new Failure.CallerGone(Step.ANSWER, "caller", String.valueOf(e.getMessage()));
        }
    }

    private void deliver(TokenChunk chunk)
            throws IOException, TimeoutException, InterruptedException {
        long nowNanos = mParts.clock().nanoTime();
        if (mLastNanos != 0) {
            mGaps.update(TimeUnit.NANOSECONDS.toMicros(nowNanos - mLastNanos));
        }
        mLastNanos = nowNanos;
        mListener.onToken(chunk);
        mWriter.token(chunk, mNextOffset, mSource);
        mNextOffset++;
    }

    /** Called with tokens. */
    @FunctionalInterface
    interface TokenListener {
        /** Called for each token before it is written. */
        void onToken(TokenChunk chunk);
    }
}
