/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.daemon.internal;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.prometheus.client.CollectorRegistry;
import io.prometheus.client.dropwizard.DropwizardExports;
import io.prometheus.client.exporter.common.TextFormat;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.orchidmount.Version;
import org.orchidmount.blackboard.RequestBoard.RequestView;
import org.orchidmount.daemon.internal.OperatorTokens.Operator;
import org.orchidmount.daemon.internal.OperatorTokens.Role;
import org.orchidmount.internal.http.HttpLimits;
import org.orchidmount.internal.http.HttpServer;
import org.orchidmount.internal.http.ServerExchange;
import org.orchidmount.internal.json.Json;
import org.orchidmount.routing.UpstreamView;
import org.orchidmount.settings.Settings;
import org.orchidmount.table.AuditRecord;
import org.orchidmount.table.Change;
import org.orchidmount.table.ChangeResult;
import org.orchidmount.table.RowCodec;
import org.orchidmount.table.RowKey;
import org.orchidmount.table.RowKind;
import org.orchidmount.table.Table;
import org.orchidmount.table.VersionedRow;

/**
 * The HTTP front for operators and their scripts: JSON over bearer tokens. Thread-safe.
 *
 * <p>Only the two health paths need no token.
 */
public final class OperatorFront implements AutoCloseable {
    private static final String BEARER = "Bearer ";

    /** Operators are few. */
    private static final int IO_THREADS = 1;

    /** Far more than a change of the table has. */
    private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

    /** Records of one answer; the rest follows by revision. */
    private static final int MAX_AUDIT_RECORDS = 1000;

    /** For a body, and for an answer. */
    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    private final Parts mParts;
    private final Readiness mReadiness;
    private final OperatorTokens mTokens;
    private final Runnable mStop;
    private final long mStartNanos;
    private final CollectorRegistry mPrometheus = new CollectorRegistry();
    private final HttpServer mServer;

    /**
     * Starts to listen.
     *
     * @param stop begins a planned stop
     */
    OperatorFront(Parts parts, Readiness readiness, OperatorTokens tokens, Runnable stop) {
        mParts = parts;
        mReadiness = readiness;
        mTokens = tokens;
        mStop = stop;
        mStartNanos = parts.clock().nanoTime();
        MetricRegistry metrics = parts.metrics();
        mPrometheus.register(new DropwizardExports(metrics));
        Settings.Operators settings = parts.settings().operators();
        mServer =
                new HttpServer(
                        settings.host(),
                        settings.port(),
                        HttpLimits.defaults(),
                        IO_THREADS,
                        parts.bodies(),
                        this::handle);
        AbortMetrics.register(metrics, "operator.response", mServer.abortedResponses());
    }

    int port() {
        return mServer.port();
    }

    private void handle(ServerExchange exchange) throws Exception {
        try {
            route(exchange);
        } catch (RefusedException e) {
            error(exchange, e.refusal().status(), e.refusal().code(), e.refusal().message());
        } catch (IllegalArgumentException e) {
            error(exchange, StatusCodes.BAD_REQUEST, "bad_request", e.getMessage());
        }
    }

    private void route(ServerExchange exchange) throws Exception {
        String call = exchange.method() + " " + exchange.path();
        switch (call) {
            case "GET " + Readiness.LIVE -> text(exchange, StatusCodes.OK, "live\n");
            case "GET " + Readiness.READY -> {
                int status =
                        mReadiness.isReady() ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE;
                text(exchange, status, mReadiness.explanation() + "\n");
            }
            case "GET /metrics" -> {
                authorize(exchange, Role.READ);
                metrics(exchange);
            }
            case "GET /v1/status" -> {
                authorize(exchange, Role.READ);
                json(exchange, StatusCodes.OK, status());
            }
            case "GET /v1/upstreams" -> {
                authorize(exchange, Role.READ);
                json(exchange, StatusCodes.OK, upstreams());
            }
            case "GET /v1/requests" -> {
                authorize(exchange, Role.READ);
                json(exchange, StatusCodes.OK, requests());
            }
            case "GET /v1/table" -> {
                authorize(exchange, Role.READ);
                json(exchange, StatusCodes.OK, table(exchange.query("kind")));
            }
            case "GET /v1/audit" -> {
                authorize(exchange, Role.READ);
                json(exchange, StatusCodes.OK, audit(exchange));
            }
            case "POST /v1/changes" -> change(exchange, authorize(exchange, Role.EDIT));
            case "POST /v1/stop" -> {
                authorize(exchange, Role.OPERATE);
                json(exchange, StatusCodes.ACCEPTED, Json.object().put("stopping", true));
                mStop.run();
            }
            default -> error(exchange, StatusCodes.NOT_FOUND, "unknown_call", "no call " + call);
        }
    }

    private Operator authorize(ServerExchange exchange, Role needed) throws RefusedException {
        String header = exchange.header("Authorization");
        String token =
                header != null && header.startsWith(BEARER)
                        ? header.substring(BEARER.length()).strip()
                        : "";
        Operator operator =
                mTokens.byToken(token)
                        .orElseThrow(
                                () ->
                                        refused(
                                                StatusCodes.UNAUTHORIZED,
                                                "unknown_token",
                                                "send an operator's token as 'Authorization: Bearer"
                                                        + " TOKEN'"));
        if (!operator.may(needed)) {
            throw refused(
                    StatusCodes.FORBIDDEN,
                    "role_too_low",
                    operator.name()
                            + " has the role "
                            + operator.role()
                            + "; this needs "
                            + needed);
        }
        return operator;
    }

    private ObjectNode status() {
        ObjectNode json = Json.object();
        json.put("instance", mParts.settings().instance());
        json.put("incarnation", mParts.incarnation());
        json.put("region", mParts.settings().region());
        json.put("zone", mParts.settings().zone());
        json.put("version", Version.TEXT);
        json.put("policy", mParts.settings().policy());
        json.put("ready", mReadiness.isReady());
        json.put("readiness", mReadiness.explanation());
        long upNanos = mParts.clock().nanoTime() - mStartNanos;
        json.put("uptimeMillis", TimeUnit.NANOSECONDS.toMillis(upNanos));
        json.put("tableRevision", mParts.table().current().revision());
        json.put("requestsQueued", mParts.board().queued());
        json.put("requestsInProgress", mParts.requests().size());
        return json;
    }

    private ArrayNode upstreams() {
        ArrayNode list = Json.MAPPER.createArrayNode();
        for (UpstreamView view : mParts.board().upstreams()) {
            list.add(Json.MAPPER.valueToTree(view));
        }
        return list;
    }

    private ArrayNode requests() {
        ArrayNode list = Json.MAPPER.createArrayNode();
        long nowNanos = mParts.clock().nanoTime();
        for (RequestView view : mParts.requests().list()) {
            ObjectNode json = Json.MAPPER.valueToTree(view);
            json.remove("arrivedNanos");
            json.put("ageMillis", TimeUnit.NANOSECONDS.toMillis(nowNanos - view.arrivedNanos()));
            list.add(json);
        }
        return list;
    }

    private ObjectNode table(String kindLabel) {
        Table table = mParts.table().current();
        List<RowKind> kinds =
                kindLabel == null
                        ? Arrays.asList(RowKind.values())
                        : List.of(RowKind.ofLabel(kindLabel));
        ObjectNode json = Json.object();
        json.put("revision", table.revision());
        ArrayNode rows = json.putArray("rows");
        for (RowKind kind : kinds) {
            for (VersionedRow versioned : table.versioned(kind)) {
                ObjectNode item = rows.addObject();
                item.put("kind", kind.label());
                item.put("version", versioned.version());
                item.put("changeId", versioned.changeId());
                item.put("author", versioned.author());
                item.set("row", RowCodec.json(versioned.row()));
            }
        }
        return json;
    }

    private ArrayNode audit(ServerExchange exchange) {
        long after = number(exchange, "after", 0);
        long limit = number(exchange, "limit", MAX_AUDIT_RECORDS);
        int most = Math.clamp(limit, 1, MAX_AUDIT_RECORDS);
        ArrayNode list = Json.MAPPER.createArrayNode();
        for (AuditRecord entry : mParts.table().audit(after, most)) {
            ObjectNode json = list.addObject();
            json.put("time", entry.time().toString());
            json.put("revision", entry.revision());
            json.set("change", RowCodec.json(entry.change()));
        }
        return list;
    }

    private static long number(ServerExchange exchange, String name, long defaultNumber) {
        String text = exchange.query(name);
        if (text == null) {
            return defaultNumber;
        }
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(
                    "the parameter '" + name + "' is '" + text + "'; give a whole number", e);
        }
    }

    private void change(ServerExchange exchange, Operator author) throws Exception {
        byte[] body = CompletionHandler.readBody(exchange, MAX_BODY_BYTES, TIMEOUT);
        JsonNode json;
        try {
            json = Json.parse(body);
        } catch (IOException e) {
            throw new IllegalArgumentException("the body is not JSON: " + e.getMessage(), e);
        }
        Change change = RowCodec.change(json, author.name());
        ChangeResult result = mParts.table().apply(change);
        ObjectNode answer = Json.object();
        answer.put("changeId", result.changeId());
        switch (result) {
            case ChangeResult.Accepted accepted -> {
                answer.put("result", "accepted").put("revision", accepted.revision());
                json(exchange, StatusCodes.OK, answer);
            }
            case ChangeResult.Conflict conflict -> {
                answer.put("result", "conflict");
                answer.set("row", key(conflict.row()));
                answer.put("expectedVersion", conflict.expectedVersion());
                answer.put("actualVersion", conflict.actualVersion());
                answer.put("winnerChangeId", conflict.winnerChangeId());
                answer.put("winnerAuthor", conflict.winnerAuthor());
                json(exchange, StatusCodes.CONFLICT, answer);
            }
            case ChangeResult.Invalid invalid -> {
                answer.put("result", "invalid");
                ArrayNode problems = answer.putArray("problems");
                invalid.problems().forEach(problems::add);
                json(exchange, StatusCodes.UNPROCESSABLE_ENTITY, answer);
            }
            case ChangeResult.Unavailable unavailable -> {
                answer.put("result", "unavailable").put("reason", unavailable.reason());
                json(exchange, StatusCodes.SERVICE_UNAVAILABLE, answer);
            }
        }
    }

    private static ObjectNode key(RowKey key) {
        return Json.object().put("kind", key.kind().label()).put("name", key.name());
    }

    private void metrics(ServerExchange exchange)
            throws IOException, TimeoutException, InterruptedException {
        StringWriter writer = new StringWriter();
        TextFormat.write004(writer, mPrometheus.metricFamilySamples());
        HeaderMap headers = new HeaderMap().put(Headers.CONTENT_TYPE, TextFormat.CONTENT_TYPE_004);
        byte[] body = writer.toString().getBytes(StandardCharsets.UTF_8);
        exchange.answer(StatusCodes.OK, headers, body, TIMEOUT);
    }

    private static void text(ServerExchange exchange, int status, String text)
            throws IOException, TimeoutException, InterruptedException {
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        exchange.answer(status, new HeaderMap(), body, TIMEOUT);
    }

    private static void json(ServerExchange exchange, int status, JsonNode json)
            throws IOException, TimeoutException, InterruptedException {
        HeaderMap headers = new HeaderMap().put(Headers.CONTENT_TYPE, "application/json");
        exchange.answer(status, headers, Json.bytes(json), TIMEOUT);
    }

    private static void error(ServerExchange exchange, int status, String code, String message)
            throws IOException, TimeoutException, InterruptedException {
        ObjectNode json = Json.object();
        json.putObject("error").put("code", code).put("message", message);
        json(exchange, status, json);
    }

    private static RefusedException refused(int status, String code, String message) {
        return new RefusedException(Refusal.bad(status, code, message));
    }

    @Override
    public void close() {
        mServer.close();
    }
}
