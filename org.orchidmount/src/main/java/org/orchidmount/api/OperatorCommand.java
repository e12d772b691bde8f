/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.api;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import java.io.IOException;
import java.time.Duration;
import org.orchidmount.errors.CallFailedException;
import org.orchidmount.errors.Failure;
import org.orchidmount.errors.Step;
import org.orchidmount.internal.http.HttpCall;
import org.orchidmount.internal.http.HttpHead;
import org.orchidmount.internal.json.Json;

/**
 * A call of an operator that is prepared by setters and then called once. Not thread-safe.
 *
 * @param <T> what it yields
 */
public abstract class OperatorCommand<T> {
    /** For each step of a call. */
    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    /** Far more than a table has. */
    private static final int MAX_ANSWER_BYTES = 64 * 1024 * 1024;

    /** HTTP: 400 and above are errors. */
    private static final int FIRST_ERROR_STATUS = 400;

    private final Orchidmount mInstance;
    private boolean mCalled;

    OperatorCommand(Orchidmount instance) {
        mInstance = instance;
    }

    /**
     * Makes the call.
     *
     * @return what it yields, or why it yields nothing
     * @throws IllegalStateException if it was called before
     */
    public abstract CommandResult<T> call();

    /** Reads a path. */
    CommandResult<JsonNode> get(String path) {
        return exchange(Methods.GET, path, null);
    }

    /** Sends a body; an answer with an error status is refused. */
    CommandResult<JsonNode> post(String path, byte[] body) {
        return exchange(Methods.POST, path, body);
    }

    private CommandResult<JsonNode> exchange(HttpString method, String path, byte[] body) {
        if (mCalled) {
            throw new IllegalStateException("a command is called once");
        }
        mCalled = true;
        HttpHead head =
                HttpHead.of(method, path)
                        .with(Headers.AUTHORIZATION, "Bearer " + mInstance.token())
                        .with(Headers.CONTENT_TYPE, "application/json");
        try (HttpCall call = open(head, body)) {
            int status = call.awaitResponse(TIMEOUT).getResponseCode();
            JsonNode json = parse(call.readAll(TIMEOUT, MAX_ANSWER_BYTES));
            if (status < FIRST_ERROR_STATUS) {
                return new CommandResult.Done<>(json);
            }
            return refused(status, json);
        } catch (CallFailedException e) {
            return new CommandResult.Failed<>(e.failure());
        }
    }

    private HttpCall open(HttpHead head, byte[] body) throws CallFailedException {
        return body == null
                ? mInstance.connections().call(mInstance.peer(), Step.REPORT, head)
                : mInstance.connections().call(mInstance.peer(), Step.ADMIT, head, body, TIMEOUT);
    }

    private JsonNode parse(byte[] body) throws CallFailedException {
        try {
            return Json.parse(body);
        } catch (IOException e) {
            throw new CallFailedException(
                    new Failure.Garbled(
                            Step.REPORT,
                            mInstance.url(),
                            "the answer is not JSON; is this the" + " operators' listener?"));
        }
    }

    /** Turns an answer with an error status into a refusal. */
    CommandResult<JsonNode> refused(int status, JsonNode json) {
        JsonNode error = json.path("error");
        String code = error.path("code").asText(json.path("result").asText("error"));
        String message = error.path("message").asText(json.toString());
        return new CommandResult.Refused<>(status, code, message);
    }
}
