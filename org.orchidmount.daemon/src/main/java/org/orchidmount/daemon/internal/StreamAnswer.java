/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.daemon.internal;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeoutException;
import org.orchidmount.internal.http.AbortCause;
import org.orchidmount.internal.http.ServerExchange;
import org.orchidmount.internal.json.Json;
import org.orchidmount.internal.upstream.EngineProtocol;
import org.orchidmount.upstream.TokenChunk;

/**
 * Answers with server-sent events as the tokens come.
 *
 * <p>Each event carries its offset as its id. The outcome follows the body as a trailer and, for
 * callers that read no trailers, as a comment before the last event. When the answer moves to
 * another engine, a comment brings the new resume token.
 *
 * <p>Invariant: the response is ended only if the answer is whole. One that fails after its first
 * token tells why in a last event and is then given up, so that it is cut by its framing. Used by
 * one thread.
 */
final class StreamAnswer implements AnswerWriter {
    private static final String SLOW_CALLER = "the caller reads too slowly";

    private final ServerExchange mExchange;
    private final String mId;
    private final ResumeTokens mTokens;
    private final Duration mTimeout;
    private ResumeTokens.Resumable mSource;
    private volatile Outcome mOutcome = Outcome.UNKNOWN;

    StreamAnswer(ServerExchange exchange, String id, ResumeTokens tokens, Duration timeout) {
        mExchange = exchange;
        mId = id;
        mTokens = tokens;
        mTimeout = timeout;
    }

    @Override
    public void token(TokenChunk chunk, int offset, ResumeTokens.Resumable source)
            throws IOException, TimeoutException, InterruptedException {
        StringBuilder event = new StringBuilder();
        if (mSource == null) {
            start(source);
        } else if (!mSource.equals(source)) {
            event.append(": resume ").append(mTokens.sign(source)).append("\n\n");
        }
        mSource = source;
        ObjectNode json = chunk.json();
        json.put("id", mId);
        json.put("offset", offset);
        event.append("id: ").append(offset).append("\ndata: ").append(Json.text(json));
        write(event.append("\n\n"));
    }

    @Override
    public void complete() throws IOException, TimeoutException, InterruptedException {
        mOutcome = Outcome.COMPLETED;
        String comment = ": outcome " + mOutcome.label() + "\n\n";
        write(new StringBuilder(comment).append("data: " + EngineProtocol.DONE + "\n\n"));
        mExchange.end(mTimeout);
    }

    @Override
    public void fail(Refusal refusal, AbortCause cause)
            throws IOException, TimeoutException, InterruptedException {
        if (mSource == null) {
            Answers.refuse(mExchange, mId, refusal, mTimeout);
            return;
        }
        String body = Json.text(Answers.body(refusal, mId));
        try {
            send(new StringBuilder("data: ").append(body).append("\n\n"));
        } finally {
            mExchange.abort(cause, refusal.message());
        }
    }

    private void start(ResumeTokens.Resumable source) {
        HeaderMap headers = Answers.headers(mId);
        headers.put(Headers.CONTENT_TYPE, "text/event-stream");
        headers.put(Headers.CACHE_CONTROL, "no-cache");
        headers.put(HeaderNames.RESUME, mTokens.sign(source));
        mExchange.trailer(HeaderNames.OUTCOME, () -> mOutcome.label());
        mExchange.start(StatusCodes.OK, headers);
    }

    private void write(StringBuilder event)
            throws IOException, TimeoutException, InterruptedException {
        try {
            send(event);
        } catch (TimeoutException e) {
            mExchange.abort(AbortCause.CALLER_TOO_SLOW, SLOW_CALLER);
            throw e;
        }
    }

    private void send(StringBuilder event)
            throws IOException, TimeoutException, InterruptedException {
        mExchange.write(event.toString().getBytes(StandardCharsets.UTF_8), mTimeout);
    }
}
