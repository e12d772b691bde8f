/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.upstream;

import com.codahale.metrics.Meter;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.orchidmount.errors.CallFailedException;
import org.orchidmount.errors.Failure;
import org.orchidmount.errors.Step;
import org.orchidmount.internal.http.HttpCall;
import org.orchidmount.internal.json.Json;
import org.orchidmount.upstream.TokenChunk;
import org.orchidmount.upstream.TokenStream;

/**
 * Tokens read from server-sent events.
 *
 * <p>Invariant: a message with another request's id, or with an offset already delivered, is
 * dropped and counted; a message that skips an offset fails the stream, so the caller can resume at
 * the gap. Used by one thread.
 */
final class HttpTokenStream implements TokenStream {
    private final HttpCall mCall;
    private final String mPeer;
    private final String mId;
    private final SseReader mReader;
    private final Meter mDropped;
    private int mNextOffset;
    private boolean mFinished;

    HttpTokenStream(
            HttpCall call, String peer, String id, int offset, Duration timeout, Meter dropped) {
        mCall = call;
        mPeer = peer;
        mId = id;
        mNextOffset = offset;
        mReader = new SseReader(call, peer, timeout);
        mDropped = dropped;
    }

    @Override
    public TokenChunk next() throws CallFailedException {
        while (true) {
            String data = mReader.next();
            if (data == null) {
                if (mFinished) {
                    return null;
                }
                throw failed("the stream ended before the answer did");
            }
            if (data.equals(EngineProtocol.DONE)) {
                if (!mFinished) {
                    throw failed("the stream ended without a finish reason");
                }
                continue;
            }
            TokenChunk chunk = accept(data);
            if (chunk != null) {
                return chunk;
            }
        }
    }

    private TokenChunk accept(String data) throws CallFailedException {
        ObjectNode json = parse(data);
        int offset = json.path("offset").asInt(-1);
        boolean ours = mId.equals(json.path("id").asText());
        if (ours && json.path("superseded").asBoolean()) {
            String detail = "another instance has taken the stream over";
            throw new CallFailedException(new Failure.Superseded(Step.DECODE, mPeer, detail));
        }
        if (!ours || offset < mNextOffset || mFinished) {
            mDropped.mark();
            return null;
        }
        if (offset > mNextOffset) {
            throw failed("offset " + offset + " follows " + (mNextOffset - 1));
        }
        mNextOffset++;
        JsonNode choice = json.path("choices").path(0);
        JsonNode text =
                choice.has("delta") ? choice.path("delta").path("content") : choice.path("text");
        String finish = choice.path("finish_reason").asText(null);
        mFinished = finish != null && !finish.equals("null");
        return new TokenChunk(offset, text.asText(""), mFinished ? finish : null, json);
    }

    private ObjectNode parse(String data) throws CallFailedException {
        try {
            if (Json.parse(data.getBytes(StandardCharsets.UTF_8)) instanceof ObjectNode object) {
                return object;
            }
        } catch (IOException e) {
            throw failed("a message is not JSON");
        }
        throw failed("a message is not an object");
    }

    private CallFailedException failed(String detail) {
        return new CallFailedException(new Failure.Garbled(Step.DECODE, mPeer, detail));
    }

    @Override
    public void close() {
        mCall.close();
    }
}
