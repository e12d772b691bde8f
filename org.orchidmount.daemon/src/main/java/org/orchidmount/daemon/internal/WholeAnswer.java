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
import java.time.Duration;
import java.util.concurrent.TimeoutException;
import org.orchidmount.internal.http.AbortCause;
import org.orchidmount.internal.http.ServerExchange;
import org.orchidmount.internal.json.Json;
import org.orchidmount.upstream.TokenChunk;

/** Collects the tokens and answers with one JSON object. Used by one thread. */
final class WholeAnswer implements AnswerWriter {
    private final ServerExchange mExchange;
    private final String mId;
    private final CompletionRequest mRequest;
    private final Duration mTimeout;
    private final StringBuilder mText = new StringBuilder();
    private int mTokens;
    private String mFinishReason;

    WholeAnswer(ServerExchange exchange, String id, CompletionRequest request, Duration timeout) {
        mExchange = exchange;
        mId = id;
        mRequest = request;
        mTimeout = timeout;
    }

    @Override
    public void token(TokenChunk chunk, int offset, ResumeTokens.Resumable source) {
        mText.append(chunk.text());
        mTokens++;
        mFinishReason = chunk.finishReason();
    }

    @Override
    public void complete() throws IOException, TimeoutException, InterruptedException {
        ObjectNode json = Json.object();
        json.put("id", mId);
        json.put("object", mRequest.chat() ? "chat.completion" : "text_completion");
        json.put("model", mRequest.model().name());
        ObjectNode choice = json.putArray("choices").addObject();
        choice.put("index", 0);
        if (mRequest.chat()) {
            choice.putObject("message").put("role", "assistant").put("content", mText.toString());
        } else {
            choice.put("text", mText.toString());
        }
        choice.put("finish_reason", mFinishReason);
        ObjectNode usage = json.putObject("usage");
        usage.put("prompt_tokens", mRequest.blocks().tokens());
        usage.put("completion_tokens", mTokens);
        usage.put("total_tokens", mRequest.blocks().tokens() + mTokens);
        HeaderMap headers = Answers.headers(mId, Outcome.COMPLETED);
        headers.put(Headers.CONTENT_TYPE, "application/json");
        mExchange.answer(StatusCodes.OK, headers, Json.bytes(json), mTimeout);
    }

    @Override
    public void fail(Refusal refusal, AbortCause cause)
            throws IOException, TimeoutException, InterruptedException {
        Answers.refuse(mExchange, mId, refusal, mTimeout);
    }
}
