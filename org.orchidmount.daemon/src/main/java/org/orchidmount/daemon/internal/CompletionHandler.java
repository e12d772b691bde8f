/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.daemon.internal;

import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeoutException;
import org.orchidmount.blackboard.RequestBoard.RequestView;
import org.orchidmount.errors.Attempt;
import org.orchidmount.errors.Failure;
import org.orchidmount.internal.http.AbortCause;
import org.orchidmount.internal.http.BodyTooLargeException;
import org.orchidmount.internal.http.NoBodyMemoryException;
import org.orchidmount.internal.http.Peer;
import org.orchidmount.internal.http.ServerExchange;
import org.orchidmount.routing.RetryAfter;
import org.orchidmount.table.Table;
import org.orchidmount.upstream.CancelSignal;
import org.orchidmount.upstream.TokenStream;

/** Serves completions, chat completions and resumes. Thread-safe. */
final class CompletionHandler {
    private static final String SLOW_CALLER = "the caller reads too slowly";

    private final Parts mParts;
    private final Duration mWriteTimeout;

    CompletionHandler(Parts parts) {
        mParts = parts;
        mWriteTimeout = parts.settings().callers().writeTimeout();
    }

    /** Serves a completion. */
    void complete(ServerExchange exchange, String id)
            throws RefusedException, IOException, TimeoutException, InterruptedException {
        long arrivedNanos = mParts.clock().nanoTime();
        requirePost(exchange);
        Table table = mParts.table().current();
        Identity identity = Identity.of(exchange, table);
        CompletionRequest.checkHead(exchange);
        byte[] body =
                readBody(
                        exchange,
                        mParts.settings().callers().maxBodyBytes(),
                        mParts.settings().callers().bodyTimeout());
        CompletionRequest request = CompletionRequest.parse(exchange, body, identity, table);
        CancelSignal cancel = new CancelSignal();
        mParts.requests().add(view(id, identity, request.model().name(), arrivedNanos), cancel);
        try {
            exchange.onGone(() -> cancel.cancel(CancelSignal.Reason.CALLER_GONE));
            AnswerWriter writer =
                    request.stream()
                            ? new StreamAnswer(exchange, id, mParts.resumeTokens(), mWriteTimeout)
                            : new WholeAnswer(exchange, id, request, mWriteTimeout);
            new CompletionRun(mParts, request, id, writer, cancel, arrivedNanos).run();
            if (cancel.reason() == CancelSignal.Reason.CALLER_GONE) {
                exchange.abort(AbortCause.CALLER_TOO_SLOW, SLOW_CALLER);
            }
        } finally {
            mParts.requests().remove(id);
        }
    }

    /** Takes up a stream whose caller has lost its connection or its instance. */
    void resume(ServerExchange exchange, String id)
            throws RefusedException, IOException, TimeoutException, InterruptedException {
        Identity identity = Identity.of(exchange, mParts.table().current());
        ResumeTokens.Resumable source = source(exchange, identity);
        int next = nextOffset(exchange);
        Peer engine =
                mParts.board()
                        .peer(source.engine())
                        .filter(peer -> next >= source.baseOffset())
                        .orElseThrow(() -> resumeFailed("its engine or its start is gone"));
        CancelSignal cancel = new CancelSignal();
        mParts.requests().add(view(id, identity, "resume", mParts.clock().nanoTime()), cancel);
        try {
            exchange.onGone(() -> cancel.cancel(CancelSignal.Reason.CALLER_GONE));
            AnswerWriter writer =
                    new StreamAnswer(
                            exchange, source.requestId(), mParts.resumeTokens(), mWriteTimeout);
            TokenRelay relay =
                    new TokenRelay(mParts, engine, source, next, writer, cancel, chunk -> {});
            Failure failure =
                    switch (relay.resume()) {
                        case Attempt.Failed<TokenStream>(Failure refused) -> refused;
                        case Attempt.Done<TokenStream>(TokenStream stream) -> relay.run(stream);
                    };
            if (failure == null) {
                writer.complete();
                return;
            }
            mParts.cleaner().clean(engine, source.engineRequestId());
            if (cancel.reason() == CancelSignal.Reason.CALLER_GONE) {
                exchange.abort(AbortCause.CALLER_TOO_SLOW, SLOW_CALLER);
            } else {
                writer.fail(
                        Refusal.failed(Messages.RESUME_FAILED.formatted(failure.describe())),
                        AbortCauses.of(failure, cancel));
            }
        } finally {
            mParts.requests().remove(id);
        }
    }

    private ResumeTokens.Resumable source(ServerExchange exchange, Identity identity)
            throws RefusedException {
        String token = exchange.header(HeaderNames.RESUME.toString());
        return mParts.resumeTokens()
                .check(token == null ? "" : token)
                .filter(source -> source.account().equals(identity.account().name()))
                .orElseThrow(
                        () ->
                                new RefusedException(
                                        Refusal.bad(
                                                StatusCodes.FORBIDDEN,
                                                "bad_resume_token",
                                                Messages.BAD_RESUME_TOKEN)));
    }

    private static int nextOffset(ServerExchange exchange) throws RefusedException {
        String text = exchange.header(HeaderNames.LAST_EVENT_ID);
        if (text == null) {
            return 0;
        }
        try {
            return Math.addExact(Integer.parseInt(text), 1);
        } catch (NumberFormatException | ArithmeticException e) {
            String message =
                    Messages.BAD_HEADER.formatted(
                            HeaderNames.LAST_EVENT_ID, text, "give the id of the last event");
            throw new RefusedException(
                    Refusal.bad(StatusCodes.BAD_REQUEST, "bad_last_event_id", message));
        }
    }

    private static RefusedException resumeFailed(String detail) {
        return new RefusedException(
                new Refusal(
                        StatusCodes.GONE,
                        "resume_failed",
                        Messages.RESUME_FAILED.formatted(detail),
                        Outcome.UNKNOWN,
                        0));
    }

    private static void requirePost(ServerExchange exchange) throws RefusedException {
        if (!exchange.method().equals(Methods.POST)) {
            String message = Messages.WRONG_METHOD.formatted(exchange.path(), Methods.POST);
            throw new RefusedException(
                    Refusal.bad(StatusCodes.METHOD_NOT_ALLOWED, "wrong_method", message));
        }
    }

    /** Reads a whole body, or refuses with what is wrong with it. */
    static byte[] readBody(ServerExchange exchange, long mostBytes, Duration timeout)
            throws RefusedException, InterruptedException {
        Refusal tooLarge =
                Refusal.bad(
                        StatusCodes.REQUEST_ENTITY_TOO_LARGE,
                        "body_too_large",
                        Messages.BODY_TOO_LARGE.formatted(mostBytes));
        if (exchange.contentLength() > mostBytes) {
            throw new RefusedException(tooLarge);
        }
        try {
            return exchange.readAll(timeout, mostBytes);
        } catch (BodyTooLargeException e) {
            throw new RefusedException(tooLarge);
        } catch (NoBodyMemoryException e) {
            Duration retryAfter = RetryAfter.bodyMemory(e.holdTime(), ThreadLocalRandom.current());
            throw new RefusedException(
                    Refusal.notNow(
                            StatusCodes.SERVICE_UNAVAILABLE,
                            "no_body_memory",
                            Messages.NO_BODY_MEMORY,
                            retryAfter.toMillis()));
        } catch (TimeoutException e) {
            throw new RefusedException(
                    Refusal.bad(
                            StatusCodes.REQUEST_TIME_OUT,
                            "body_too_slow",
                            Messages.BODY_TOO_SLOW.formatted(timeout.toMillis())));
        } catch (IOException e) {
            throw new RefusedException(
                    Refusal.bad(StatusCodes.BAD_REQUEST, "body_cut", Messages.BODY_CUT));
        }
    }

    private static RequestView view(
            String id, Identity identity, String target, long arrivedNanos) {
        return new RequestView(
                id,
                identity.account().name(),
                identity.requestClass().name(),
                target,
                "queued",
                "",
                "",
                arrivedNanos);
    }
}
