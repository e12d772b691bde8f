/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.daemon.internal;

import com.codahale.metrics.MetricRegistry;
import io.undertow.client.ClientResponse;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeoutException;
import org.orchidmount.claims.ClaimResult;
import org.orchidmount.claims.RecordedAnswer;
import org.orchidmount.errors.CallFailedException;
import org.orchidmount.errors.Failure;
import org.orchidmount.errors.Step;
import org.orchidmount.internal.http.EndToEndHeaders;
import org.orchidmount.internal.http.HttpCall;
import org.orchidmount.internal.http.HttpHead;
import org.orchidmount.internal.http.Peer;
import org.orchidmount.internal.http.ServerExchange;
import org.orchidmount.internal.log.PartLog;
import org.orchidmount.internal.upstream.EngineProtocol;
import org.orchidmount.pacing.PauseStatement;
import org.orchidmount.pacing.RetryAfterField;
import org.orchidmount.pacing.UnreadableStatements;
import org.orchidmount.routing.RetryAfter;
import org.orchidmount.routing.TableAttemptRule;
import org.orchidmount.table.RouteRow;
import org.orchidmount.upstream.CancelSignal;

/**
 * Carries calls to instances of plain services.
 *
 * <p>Bodies are passed on in parts and never held whole, except those of calls that must run at
 * most once, and small ones, which can then be sent again. Thread-safe.
 */
final class PlainForwarder {
    private static final PartLog LOG = PartLog.of("plain");

    /** Request bodies up to this size are held, so that the call can be retried. */
    private static final int MAX_HELD_REQUEST_BYTES = 64 * 1024;

    /** Answers up to this size are held, so that their outcome can stand in the head. */
    private static final int MAX_HELD_ANSWER_BYTES = 256 * 1024;

    /** The host of the service is set anew with its address. */
    private static final Set<HttpString> SET_ANEW = Set.of(Headers.HOST);

    private final Parts mParts;
    private final Duration mWriteTimeout;
    private final Duration mBodyTimeout;
    private final UnreadableStatements mUnreadable = UnreadableStatements.ofRetryTimes();

    PlainForwarder(Parts parts) {
        mParts = parts;
        mWriteTimeout = parts.settings().callers().writeTimeout();
        mBodyTimeout = parts.settings().callers().bodyTimeout();
    }

    /** The head of the call as the service is to see it; the account's key is not passed on. */
    HttpHead head(ServerExchange exchange, String id) {
        HeaderMap headers = EndToEndHeaders.of(exchange.requestHeaders(), SET_ANEW);
        headers.remove(Headers.AUTHORIZATION);
        headers.put(EngineProtocol.REQUEST_ID, id);
        return new HttpHead(exchange.method(), exchange.pathAndQuery(), headers);
    }

    /** Forwards a repeatable call and answers it. */
    void forward(ServerExchange exchange, String id, RouteRow route, CancelSignal cancel)
            throws RefusedException, IOException, TimeoutException, InterruptedException {
        HttpHead head = head(exchange, id);
        long length = exchange.contentLength();
        boolean chunked = exchange.header("Transfer-Encoding") != null;
        if (length > route.maxBodyBytes()) {
            throw new RefusedException(
                    Refusal.bad(
                            StatusCodes.REQUEST_ENTITY_TOO_LARGE,
                            "body_too_large",
                            Messages.BODY_TOO_LARGE.formatted(route.maxBodyBytes())));
        }
        boolean held = !chunked && length <= MAX_HELD_REQUEST_BYTES;
        byte[] body =
                held
                        ? CompletionHandler.readBody(exchange, MAX_HELD_REQUEST_BYTES, mBodyTimeout)
                        : null;
        List<String> failed = new ArrayList<>();
        boolean mayHaveRun = false;
        Failure last = null;
        for (int attempts = 0; TableAttemptRule.hasAttemptsLeft(attempts); attempts++) {
            Optional<Peer> chosen = mParts.board().acquirePlain(route.pool(), failed);
            if (chosen.isEmpty()) {
                break;
            }
            Peer peer = chosen.get();
            try {
                mParts.requests().update(id, "forward", "", peer.name());
                last = callAndAnswer(exchange, id, route, peer, head, body, cancel);
            } finally {
                mParts.board().releasePlain(peer);
            }
            boolean hasCallerLeft = cancel.reason() == CancelSignal.Reason.CALLER_GONE;
            if (last == null || hasCallerLeft || exchange.isStarted()) {
                finishOrAbort(exchange, last, cancel);
                return;
            }
            LOG.info("%s: %s", id, last.describe());
            mayHaveRun |= last.mayHaveRun();
            if (cancel.isCancelled()) {
                break;
            }
            mParts.board().failed(peer.name());
            failed.add(peer.name());
            boolean resendable = TableAttemptRule.mayResendPlain(held, last);
            if (!resendable || !mParts.retries().tryAcquire()) {
                break;
            }
        }
        refuse(exchange, id, route, last, mayHaveRun);
    }

    private void finishOrAbort(ServerExchange exchange, Failure failure, CancelSignal cancel) {
        count(failure == null ? Outcome.COMPLETED : Outcome.UNKNOWN);
        if (failure != null) {
            exchange.abort(AbortCauses.of(failure, cancel), failure.describe());
        }
    }

    private void refuse(
            ServerExchange exchange, String id, RouteRow route, Failure last, boolean mayHaveRun)
            throws IOException, TimeoutException, InterruptedException {
        String message =
                last == null
                        ? Messages.NO_UPSTREAM.formatted(route.pool())
                        : Messages.UPSTREAMS_FAILED.formatted(last.describe());
        Refusal refusal =
                mayHaveRun
                        ? Refusal.failed(message)
                        : Refusal.notNow(
                                StatusCodes.SERVICE_UNAVAILABLE,
                                "no_upstream",
                                message,
                                retryAfterMillis(route));
        count(refusal.outcome());
        Answers.refuse(exchange, id, refusal, mWriteTimeout);
    }

    /** Returns when to come back: not before an upstream of the route takes work. */
    long retryAfterMillis(RouteRow route) {
        Duration untilPauseEnds = mParts.board().untilPauseEnds(route.pool());
        return Math.max(RetryAfter.TABLE_MILLIS, untilPauseEnds.toMillis());
    }

    /** Makes one call; returns null if the whole answer was passed on. */
    private Failure callAndAnswer(
            ServerExchange exchange,
            String id,
            RouteRow route,
            Peer peer,
            HttpHead head,
            byte[] held,
            CancelSignal cancel)
            throws IOException, TimeoutException, InterruptedException {
        Duration timeout = Duration.ofMillis(route.timeoutMillis());
        try (HttpCall call = open(peer, head, held, timeout, cancel)) {
            if (held == null) {
                passBodyOn(exchange, call, route, timeout);
            }
            ClientResponse response = call.awaitResponse(timeout);
            observe(peer, response);
            answer(exchange, id, response, call, timeout);
            mParts.board().succeeded(peer.name());
            return null;
        } catch (CallFailedException e) {
            return e.failure();
        }
    }

    private void observe(Peer peer, ClientResponse response) {
        switch (RetryAfterField.read(response)) {
            case PauseStatement.None _ -> {}
            case PauseStatement.Lasting pause -> mParts.board().paused(peer.name(), pause.length());
            case PauseStatement.Unreadable pause -> mUnreadable.add(peer.name(), pause.text());
        }
    }

    private HttpCall open(
            Peer peer, HttpHead head, byte[] held, Duration timeout, CancelSignal cancel)
            throws CallFailedException {
        if (held == null) {
            return mParts.connections().callFresh(peer, Step.FORWARD, head, true, cancel);
        }
        boolean empty = held.length == 0 && !head.headers().contains(Headers.CONTENT_LENGTH);
        return empty
                ? mParts.connections().callFresh(peer, Step.FORWARD, head, false, cancel)
                : mParts.connections().callFresh(peer, Step.FORWARD, head, held, timeout, cancel);
    }

    private void passBodyOn(
            ServerExchange exchange, HttpCall call, RouteRow route, Duration timeout)
            throws CallFailedException, IOException, TimeoutException, InterruptedException {
        long passed = 0;
        byte[] part = exchange.read(mBodyTimeout);
        while (part != null) {
            passed += part.length;
            if (passed > route.maxBodyBytes()) {
                throw new IOException("the body is larger than " + route.maxBodyBytes());
            }
            call.write(part, timeout);
            part = exchange.read(mBodyTimeout);
        }
        call.endRequest(timeout);
    }

    private void answer(
            ServerExchange exchange,
            String id,
            ClientResponse response,
            HttpCall call,
            Duration timeout)
            throws CallFailedException, IOException, TimeoutException, InterruptedException {
        HeaderMap headers = endToEnd(response.getResponseHeaders());
        headers.put(HeaderNames.REQUEST_ID, id);
        int status = response.getResponseCode();
        if (exchange.method().equals(Methods.HEAD)) {
            headers.put(HeaderNames.OUTCOME, Outcome.COMPLETED.label());
            exchange.start(status, headers);
            exchange.end(mWriteTimeout);
            return;
        }
        ByteArrayOutputStream start = new ByteArrayOutputStream();
        byte[] part = call.read(timeout);
        while (part != null && start.size() + part.length <= MAX_HELD_ANSWER_BYTES) {
            start.writeBytes(part);
            part = call.read(timeout);
        }
        if (part == null) {
            headers.put(HeaderNames.OUTCOME, Outcome.COMPLETED.label());
            exchange.answer(status, headers, start.toByteArray(), mWriteTimeout);
            return;
        }
        if (exchange.takesTrailers() || !statesLength(response)) {
            headers.remove(Headers.CONTENT_LENGTH);
        }
        exchange.trailer(HeaderNames.OUTCOME, Outcome.COMPLETED::label);
        exchange.start(status, headers);
        exchange.write(start.toByteArray(), mWriteTimeout);
        while (part != null) {
            exchange.write(part, mWriteTimeout);
            part = call.read(timeout);
        }
        exchange.end(mWriteTimeout);
    }

    /** Tells whether the length counts; the coding in chunks overrides it. */
    private static boolean statesLength(ClientResponse response) {
        HeaderMap headers = response.getResponseHeaders();
        return headers.contains(Headers.CONTENT_LENGTH)
                && !headers.contains(Headers.TRANSFER_ENCODING);
    }

    private static HeaderMap endToEnd(HeaderMap received) {
        HeaderMap headers = EndToEndHeaders.of(received, SET_ANEW);
        headers.remove(EngineProtocol.REQUEST_ID);
        return headers;
    }

    /**
     * Sends a claimed call to one instance.
     *
     * @return released if no instance could be reached, so no byte was sent; done with the answer;
     *     or unknown
     */
    ClaimResult forwardOnce(HttpHead head, byte[] body, String id, RouteRow route) {
        Duration timeout = Duration.ofMillis(route.timeoutMillis());
        List<String> unreachable = new ArrayList<>();
        while (true) {
            Optional<Peer> chosen = mParts.board().acquirePlain(route.pool(), unreachable);
            if (chosen.isEmpty()) {
                return new ClaimResult.Released();
            }
            Peer peer = chosen.get();
            try {
                mParts.requests().update(id, "forward", "", peer.name());
                RecordedAnswer answer = callOnce(peer, head, body, timeout);
                mParts.board().succeeded(peer.name());
                return new ClaimResult.Done(answer);
            } catch (CallFailedException e) {
                mParts.board().failed(peer.name());
                if (e.failure().mayHaveRun()) {
                    return new ClaimResult.Unknown(e.failure().describe());
                }
                unreachable.add(peer.name());
            } finally {
                mParts.board().releasePlain(peer);
            }
        }
    }

    private RecordedAnswer callOnce(Peer peer, HttpHead head, byte[] body, Duration timeout)
            throws CallFailedException {
        try (HttpCall call =
                mParts.connections()
                        .callFresh(peer, Step.FORWARD, head, body, timeout, new CancelSignal())) {
            ClientResponse response = call.awaitResponse(timeout);
            observe(peer, response);
            return record(response, call, timeout);
        }
    }

    private static RecordedAnswer record(ClientResponse response, HttpCall call, Duration timeout)
            throws CallFailedException {
        String type = response.getResponseHeaders().getFirst(Headers.CONTENT_TYPE);
        ByteArrayOutputStream kept = new ByteArrayOutputStream();
        boolean complete = true;
        for (byte[] part = call.read(timeout); part != null; part = call.read(timeout)) {
            complete &= kept.size() + part.length <= RecordedAnswer.MAX_BODY_BYTES;
            if (complete) {
                kept.writeBytes(part);
            }
        }
        return new RecordedAnswer(
                response.getResponseCode(),
                type == null ? "" : type,
                complete ? kept.toByteArray() : new byte[0],
                complete);
    }

    private void count(Outcome outcome) {
        mParts.metrics().meter(MetricRegistry.name("plain", "ended", outcome.label())).mark();
    }
}
