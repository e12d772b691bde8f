/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.daemon.internal;

import com.codahale.metrics.MetricRegistry;
import com.google.common.hash.Hashing;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.orchidmount.blackboard.RequestBoard.RequestView;
import org.orchidmount.claims.ClaimKey;
import org.orchidmount.claims.ClaimResult;
import org.orchidmount.claims.RecordedAnswer;
import org.orchidmount.internal.http.HttpHead;
import org.orchidmount.internal.http.ServerExchange;
import org.orchidmount.internal.log.PartLog;
import org.orchidmount.limits.LocalLimits.Limit;
import org.orchidmount.routing.RetryAfter;
import org.orchidmount.table.PoolRow;
import org.orchidmount.table.RouteRow;
import org.orchidmount.table.Table;
import org.orchidmount.upstream.CancelSignal;

/**
 * Serves calls to plain services.
 *
 * <p>Invariants: a call of a route that is not repeatable is claimed under the caller's key before
 * a byte of it is sent, is sent to one instance only, and is carried to its end even if the caller
 * goes, so that a resend gets the recorded answer. Thread-safe.
 */
final class PlainHandler {
    private static final PartLog LOG = PartLog.of("plain");

    private final Parts mParts;
    private final PlainForwarder mForwarder;
    private final Duration mWriteTimeout;

    PlainHandler(Parts parts) {
        mParts = parts;
        mForwarder = new PlainForwarder(parts);
        mWriteTimeout = parts.settings().callers().writeTimeout();
    }

    /** Serves a call. */
    void call(ServerExchange exchange, String id)
            throws RefusedException, IOException, TimeoutException, InterruptedException {
        Table table = mParts.table().current();
        String method = exchange.method().toString();
        RouteRow route =
                table.route(method, exchange.path())
                        .orElseThrow(
                                () ->
                                        refused(
                                                StatusCodes.NOT_FOUND,
                                                "unknown_path",
                                                Messages.UNKNOWN_PATH.formatted(
                                                        method, exchange.path())));
        Identity identity = Identity.of(exchange, table);
        List<Limit> limits = admit(identity, table, route);
        CancelSignal cancel = new CancelSignal();
        mParts.requests().add(view(id, identity, route), cancel);
        try {
            if (route.repeatable()) {
                exchange.onGone(() -> cancel.cancel(CancelSignal.Reason.CALLER_GONE));
                mParts.retries().recordRequest();
                mForwarder.forward(exchange, id, route, cancel);
            } else {
                callOnce(exchange, id, identity, route);
            }
        } finally {
            mParts.requests().remove(id);
            mParts.limits().release(limits);
        }
    }

    private List<Limit> admit(Identity identity, Table table, RouteRow route)
            throws RefusedException {
        if (mParts.admission().isStopping()) {
            throw notNow(
                    StatusCodes.SERVICE_UNAVAILABLE,
                    "stopping",
                    Messages.STOPPING,
                    RetryAfter.TABLE_MILLIS);
        }
        long waitMillis =
                mParts.limits().tryAcquireRate(identity.account(), mParts.clock().nanoTime());
        if (waitMillis > 0) {
            throw notNow(
                    StatusCodes.TOO_MANY_REQUESTS, "rate_limit", Messages.RATE_LIMIT, waitMillis);
        }
        int mostInPool = table.row(PoolRow.class, route.pool()).map(PoolRow::maxRunning).orElse(0);
        List<Limit> limits =
                List.of(
                        new Limit(
                                "account " + identity.account().name(),
                                identity.account().maxRunning()),
                        new Limit(
                                "class " + identity.requestClass().name(),
                                identity.requestClass().maxRunning()),
                        new Limit("pool " + route.pool(), mostInPool));
        Optional<Limit> reached = mParts.limits().tryAcquire(limits);
        if (reached.isPresent()) {
            throw notNow(
                    StatusCodes.TOO_MANY_REQUESTS,
                    "limit_reached",
                    Messages.LIMIT_REACHED.formatted(reached.get().key()),
                    RetryAfter.TABLE_MILLIS);
        }
        return limits;
    }

    private void callOnce(ServerExchange exchange, String id, Identity identity, RouteRow route)
            throws RefusedException, IOException, TimeoutException, InterruptedException {
        ClaimKey key = claimKey(exchange, identity, route);
        byte[] body =
                CompletionHandler.readBody(
                        exchange, route.maxBodyBytes(), mParts.settings().callers().bodyTimeout());
        HttpHead head = mForwarder.head(exchange, id);
        switch (mParts.claims().claim(key, fingerprint(exchange, body))) {
            case ClaimResult.Granted _ -> {
                ClaimResult end = runOnce(key, head, body, id, route);
                answer(exchange, id, route, end);
            }
            case ClaimResult.Running running -> answer(exchange, id, route, await(running, route));
            case ClaimResult other -> answer(exchange, id, route, other);
        }
    }

    /** Runs a claimed call and records its end, whatever happens. */
    private ClaimResult runOnce(
            ClaimKey key, HttpHead head, byte[] body, String id, RouteRow route) {
        ClaimResult end = new ClaimResult.Unknown("the instance failed");
        try {
            end = mForwarder.forwardOnce(head, body, id, route);
        } finally {
            switch (end) {
                case ClaimResult.Done done -> mParts.claims().done(key, done.answer());
                case ClaimResult.Released _ -> mParts.claims().release(key);
                case ClaimResult.Unknown unknown -> {
                    LOG.warn("%s: outcome unknown: %s", id, unknown.reason());
                    mParts.claims().unknown(key, unknown.reason());
                }
                default -> throw new IllegalStateException("no end of a claim: " + end);
            }
        }
        return end;
    }

    private static ClaimResult await(ClaimResult.Running running, RouteRow route)
            throws InterruptedException {
        try {
            return running.end().get(route.timeoutMillis(), TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            return running;
        } catch (ExecutionException e) {
            throw new IllegalStateException("a claim failed", e);
        }
    }

    private void answer(ServerExchange exchange, String id, RouteRow route, ClaimResult end)
            throws IOException, TimeoutException, InterruptedException {
        Refusal refusal =
                switch (end) {
                    case ClaimResult.Done done when done.answer().complete() -> null;
                    case ClaimResult.Done _ ->
                            new Refusal(
                                    StatusCodes.CONFLICT,
                                    "answer_not_kept",
                                    Messages.ANSWER_NOT_KEPT,
                                    Outcome.COMPLETED,
                                    0);
                    case ClaimResult.Unknown unknown ->
                            Refusal.failed(Messages.CLAIM_UNKNOWN.formatted(unknown.reason()));
                    case ClaimResult.Released _ ->
                            Refusal.notNow(
                                    StatusCodes.SERVICE_UNAVAILABLE,
                                    "no_upstream",
                                    Messages.NO_UPSTREAM.formatted("the route"),
                                    mForwarder.retryAfterMillis(route));
                    case ClaimResult.Mismatch _ ->
                            Refusal.bad(
                                    StatusCodes.UNPROCESSABLE_ENTITY,
                                    "key_mismatch",
                                    Messages.KEY_MISMATCH);
                    case ClaimResult.Unavailable _ ->
                            Refusal.notNow(
                                    StatusCodes.SERVICE_UNAVAILABLE,
                                    "claim_unavailable",
                                    Messages.CLAIM_UNAVAILABLE,
                                    RetryAfter.TABLE_MILLIS);
                    default ->
                            new Refusal(
                                    StatusCodes.CONFLICT,
                                    "still_running",
                                    Messages.CLAIM_RUNNING,
                                    Outcome.UNKNOWN,
                                    RetryAfter.TABLE_MILLIS);
                };
        Outcome outcome = refusal == null ? Outcome.COMPLETED : refusal.outcome();
        mParts.metrics().meter(MetricRegistry.name("plain", "ended", outcome.label())).mark();
        if (refusal != null) {
            Answers.refuse(exchange, id, refusal, mWriteTimeout);
            return;
        }
        RecordedAnswer answer = ((ClaimResult.Done) end).answer();
        HeaderMap headers = Answers.headers(id, Outcome.COMPLETED);
        if (!answer.contentType().isEmpty()) {
            headers.put(Headers.CONTENT_TYPE, answer.contentType());
        }
        exchange.answer(answer.status(), headers, answer.body(), mWriteTimeout);
    }

    private static ClaimKey claimKey(ServerExchange exchange, Identity identity, RouteRow route)
            throws RefusedException {
        String key = exchange.header(HeaderNames.IDEMPOTENCY_KEY);
        if (key == null || key.isBlank()) {
            throw refused(StatusCodes.BAD_REQUEST, "key_needed", Messages.KEY_NEEDED);
        }
        if (key.length() > ClaimKey.MAX_KEY_LENGTH) {
            throw refused(
                    StatusCodes.BAD_REQUEST,
                    "key_too_long",
                    Messages.KEY_TOO_LONG.formatted(ClaimKey.MAX_KEY_LENGTH));
        }
        return new ClaimKey(identity.account().name(), route.name(), key);
    }

    private static String fingerprint(ServerExchange exchange, byte[] body) {
        String head = exchange.method() + " " + exchange.pathAndQuery() + "\n";
        return Hashing.sha256()
                .newHasher()
                .putString(head, StandardCharsets.UTF_8)
                .putBytes(body)
                .hash()
                .toString();
    }

    private RequestView view(String id, Identity identity, RouteRow route) {
        return new RequestView(
                id,
                identity.account().name(),
                identity.requestClass().name(),
                route.name(),
                "forward",
                "",
                "",
                mParts.clock().nanoTime());
    }

    private static RefusedException refused(int status, String code, String message) {
        return new RefusedException(Refusal.bad(status, code, message));
    }

    private static RefusedException notNow(
            int status, String code, String message, long retryAfterMillis) {
        return new RefusedException(Refusal.notNow(status, code, message, retryAfterMillis));
    }
}
