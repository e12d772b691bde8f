/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.daemon.internal;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.orchidmount.internal.http.ServerExchange;
import org.orchidmount.internal.json.Json;

/** Builds answers to callers. Stateless and thread-safe. */
final class Answers {
    private Answers() {}

    /** Header fields with the request's id. */
    static HeaderMap headers(String requestId) {
        return new HeaderMap().put(HeaderNames.REQUEST_ID, requestId);
    }

    /** Header fields with the request's id and fate. */
    static HeaderMap headers(String requestId, Outcome outcome) {
        return headers(requestId).put(HeaderNames.OUTCOME, outcome.label());
    }

    /** The body that explains a refusal. */
    static ObjectNode body(Refusal refusal, String requestId) {
        ObjectNode body = Json.object();
        ObjectNode error = body.putObject("error");
        error.put("message", refusal.message());
        error.put("code", refusal.code());
        error.put("outcome", refusal.outcome().label());
        error.put("request_id", requestId);
        return body;
    }

    /** Sends a refusal as a whole answer. */
    static void refuse(ServerExchange exchange, String requestId, Refusal refusal, Duration timeout)
            throws IOException, TimeoutException, InterruptedException {
        HeaderMap headers = headers(requestId, refusal.outcome());
        headers.put(Headers.CONTENT_TYPE, "application/json");
        if (refusal.retryAfterMillis() > 0) {
            long millisPerSecond = TimeUnit.SECONDS.toMillis(1);
            long seconds = Math.ceilDiv(refusal.retryAfterMillis(), millisPerSecond);
            headers.put(Headers.RETRY_AFTER, seconds);
            headers.put(HeaderNames.RETRY_AFTER_MILLIS, refusal.retryAfterMillis());
        }
        exchange.answer(refusal.status(), headers, Json.bytes(body(refusal, requestId)), timeout);
    }
}
