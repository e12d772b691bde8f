/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.junit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeoutException;
import org.orchidmount.internal.http.AbortCause;
import org.orchidmount.internal.http.HttpLimits;
import org.orchidmount.internal.http.HttpServer;
import org.orchidmount.internal.http.ServerExchange;
import org.orchidmount.internal.json.Json;
import org.orchidmount.internal.upstream.EngineProtocol;
import org.orchidmount.junit.internal.EngineService;

/**
 * A stand-in for a model engine, as an HTTP service on a port of its own.
 *
 * <p>It speaks the protocol of docs/ENGINE-PROTOCOL.md. The paths under {@code /test} are for
 * tests: they tell what has really happened and set faults. Thread-safe.
 */
public final class FakeEngine implements AutoCloseable {
    private static final int MAX_BODY_BYTES = 64 * 1024 * 1024;
    private static final int IO_THREADS = 2;
    private static final int MAX_HEADER_BYTES = 64 * 1024;
    private static final Duration TIMEOUT = Duration.ofSeconds(60);

    private final EngineService mService;
    private final HttpServer mServer;

    /**
     * Starts an engine.
     *
     * @param config how it behaves
     * @param host the IP address
     * @param port the TCP port, 0 for a free one
     * @param seed makes its faults repeatable
     */
    public FakeEngine(EngineConfig config, String host, int port, long seed) {
        mService = new EngineService(config, seed);
        HttpLimits limits =
                new HttpLimits(MAX_HEADER_BYTES, 10_000, TIMEOUT, Duration.ofMinutes(10));
        mServer = new HttpServer(host, port, limits, IO_THREADS, this::handle);
        mService.setAddress(host, mServer.port());
    }

    /**
     * Returns the port bound.
     *
     * @return the TCP port
     */
    public int port() {
        return mServer.port();
    }

    private void handle(ServerExchange exchange) throws Exception {
        String path = exchange.path();
        String id = exchange.header(EngineProtocol.REQUEST_ID.toString());
        if (path.equals(EngineProtocol.COMPLETIONS)
                || path.equals(EngineProtocol.CHAT_COMPLETIONS)) {
            mService.received(id);
            complete(exchange, id, path.equals(EngineProtocol.CHAT_COMPLETIONS));
            return;
        }
        JsonNode body = Json.parse(exchange.readAll(TIMEOUT, MAX_BODY_BYTES));
        if (path.startsWith(EngineProtocol.REQUESTS + "/")) {
            requestCall(exchange, path, body);
            return;
        }
        switch (path) {
            case EngineProtocol.REQUESTS -> answer(exchange, StatusCodes.OK, mService.running());
            case EngineProtocol.REPORT -> {
                long after = Long.parseLong(exchange.query("events_after"));
                answer(exchange, StatusCodes.OK, mService.report(after));
            }
            case "/v1/exports" -> export(exchange, body);
            case "/v1/orders" -> order(exchange, body);
            case "/test/state" -> answer(exchange, StatusCodes.OK, mService.state());
            case "/test/executions" -> {
                ObjectNode json = Json.object();
                ArrayNode ids = json.putArray("ids");
                mService.receivedIds().forEach(ids::add);
                answer(exchange, StatusCodes.OK, json);
            }
            case "/test/faults" -> {
                mService.setFaults(Json.MAPPER.treeToValue(body, EngineFaults.class));
                answer(exchange, StatusCodes.OK, Json.object());
            }
            default -> answer(exchange, StatusCodes.NOT_FOUND, error("no path " + path));
        }
    }

    private void complete(ServerExchange exchange, String id, boolean chat) throws Exception {
        JsonNode body = Json.parse(exchange.readAll(TIMEOUT, MAX_BODY_BYTES));
        if (mService.rejects()) {
            answer(exchange, StatusCodes.SERVICE_UNAVAILABLE, error("too busy"));
            return;
        }
        EngineService.Call call =
                new EngineService.Call(
                        id,
                        exchange.header(EngineProtocol.INSTANCE.toString()),
                        exchange.header(EngineProtocol.INCARNATION.toString()),
                        chat,
                        (ObjectNode) body);
        JsonNode transfer = body.path(EngineProtocol.TRANSFER);
        if (transfer.path(EngineProtocol.REMOTE_DECODE).asBoolean()) {
            ObjectNode result = mService.prefill(call);
            if (result == null) {
                answer(exchange, StatusCodes.CONFLICT, error("cancelled"));
            } else {
                answer(exchange, StatusCodes.OK, result);
            }
            return;
        }
        EngineService.Opened opened = mService.open(call);
        if (opened.error() != null) {
            answer(exchange, StatusCodes.SERVICE_UNAVAILABLE, error(opened.error()));
            return;
        }
        stream(exchange, id, opened.reader(), 0);
    }

    private void requestCall(ServerExchange exchange, String path, JsonNode body) throws Exception {
        String[] parts = path.substring(EngineProtocol.REQUESTS.length() + 1).split("/");
        String id = parts[0];
        if (parts.length == 2 && parts[1].equals("cancel")) {
            ObjectNode json = Json.object().put("cancelled", mService.drop(id));
            answer(exchange, StatusCodes.OK, json);
            return;
        }
        if (parts.length == 2 && parts[1].equals("resume")) {
            int offset = body.path("offset").asInt();
            int reader =
                    mService.resume(
                            id,
                            exchange.header(EngineProtocol.INSTANCE.toString()),
                            exchange.header(EngineProtocol.INCARNATION.toString()),
                            offset);
            if (reader < 0) {
                answer(exchange, StatusCodes.NOT_FOUND, error("no request " + id));
                return;
            }
            stream(exchange, id, reader, offset);
            return;
        }
        answer(exchange, StatusCodes.NOT_FOUND, error("no path " + path));
    }

    private void stream(ServerExchange exchange, String id, int reader, int offset)
            throws InterruptedException {
        try {
            exchange.start(StatusCodes.OK, headers(exchange, "text/event-stream"));
            int next = offset;
            while (true) {
                EngineService.Message message = mService.next(id, reader, next);
                for (String event : message.events()) {
                    exchange.write(event.getBytes(StandardCharsets.UTF_8), TIMEOUT);
                }
                if (message.cut()) {
                    exchange.abort(AbortCause.UPSTREAM_FAILED, "a fault of the stand-in");
                    return;
                }
                if (message.last()) {
                    exchange.end(TIMEOUT);
                    mService.finished(id, message);
                    return;
                }
                next++;
            }
        } catch (IOException | TimeoutException e) {
            exchange.abort(AbortCause.UPSTREAM_FAILED, "a fault of the stand-in");
        } finally {
            mService.detach(id, reader);
        }
    }

    private void export(ServerExchange exchange, JsonNode body) throws Exception {
        ObjectNode held =
                mService.export(body.path("handle").asText(), body.path("imported").asBoolean());
        if (held == null) {
            answer(exchange, StatusCodes.GONE, error("the cache is no longer held"));
        } else {
            answer(exchange, StatusCodes.OK, held);
        }
    }

    private void order(ServerExchange exchange, JsonNode body) throws Exception {
        if (mService.order(body.path("fence").asLong())) {
            answer(exchange, StatusCodes.OK, Json.object().put("accepted", true));
        } else {
            answer(exchange, StatusCodes.CONFLICT, error("the fence is old"));
        }
    }

    private static ObjectNode error(String message) {
        ObjectNode json = Json.object();
        json.putObject("error").put("message", message);
        return json;
    }

    /** Every answer carries the identity of its call back, if the call has one. */
    private static HeaderMap headers(ServerExchange exchange, String contentType) {
        HeaderMap headers = new HeaderMap().put(Headers.CONTENT_TYPE, contentType);
        String id = exchange.header(EngineProtocol.REQUEST_ID.toString());
        if (id != null) {
            headers.put(EngineProtocol.REQUEST_ID, id);
        }
        return headers;
    }

    private static void answer(ServerExchange exchange, int status, JsonNode json)
            throws IOException, TimeoutException, InterruptedException {
        HeaderMap headers = headers(exchange, "application/json");
        exchange.answer(status, headers, Json.bytes(json), TIMEOUT);
    }

    @Override
    public void close() {
        mServer.close();
        mService.close();
    }
}
