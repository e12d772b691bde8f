/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.junit;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import org.orchidmount.internal.http.AbortCause;
import org.orchidmount.internal.http.HttpLimits;
import org.orchidmount.internal.http.HttpServer;
import org.orchidmount.internal.http.ServerExchange;
import org.orchidmount.internal.json.Json;

/**
 * A stand-in for a plain service. It counts every execution by the caller's key and by request id,
 * and the callers that left while it worked for them, which ends that work.
 *
 * <p>{@code GET /big?bytes=N} sends a large body with its length, or in chunks with {@code
 * length=no}; {@code cut=M} gives it up after M bytes, and {@code stall=M} sends no more than M
 * until the caller leaves. Other calls answer with what they received. The paths under {@code
 * /test} are for tests. Thread-safe.
 */
public final class FakePlainService implements AutoCloseable {
    private static final HttpString REQUEST_ID = new HttpString("X-Request-Id");
    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final int PART_BYTES = 16 * 1024;
    private static final int IO_THREADS = 2;

    private final String mName;
    private final SplittableRandom mRandom;
    private final Map<String, Integer> mByKey = new HashMap<>();
    private final Map<String, Integer> mById = new HashMap<>();
    private final AtomicInteger mCallersGone = new AtomicInteger();
    private final HttpServer mServer;
    private volatile PlainFaults mFaults = PlainFaults.none();

    /**
     * Starts a service.
     *
     * @param name its name
     * @param host the IP address
     * @param port the TCP port, 0 for a free one
     * @param seed makes its faults repeatable
     */
    public FakePlainService(String name, String host, int port, long seed) {
        mName = name;
        mRandom = new SplittableRandom(seed);
        mServer = new HttpServer(host, port, HttpLimits.defaults(), IO_THREADS, this::handle);
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
        switch (exchange.path()) {
            case "/test/executions" -> answer(exchange, executions(), null);
            case "/test/faults" -> {
                byte[] body = exchange.readAll(TIMEOUT, PART_BYTES);
                mFaults = Json.MAPPER.readValue(body, PlainFaults.class);
                answer(exchange, Json.object(), null);
            }
            case "/big" -> big(exchange);
            default -> call(exchange);
        }
    }

    private synchronized ObjectNode executions() {
        ObjectNode json = Json.object();
        json.set("byKey", Json.MAPPER.valueToTree(mByKey));
        json.set("byId", Json.MAPPER.valueToTree(mById));
        json.put("callersGone", mCallersGone.get());
        return json;
    }

    private void call(ServerExchange exchange) throws Exception {
        String id = String.valueOf(exchange.header(REQUEST_ID.toString()));
        String key = exchange.header("Idempotency-Key");
        Hasher hasher = Hashing.sha256().newHasher();
        long bytes = 0;
        for (byte[] part = exchange.read(TIMEOUT); part != null; part = exchange.read(TIMEOUT)) {
            hasher.putBytes(part);
            bytes += part.length;
        }
        PlainFaults faults = mFaults;
        execute(id, key);
        if (faults.delayMillis() > 0 && callerLeaves(exchange, faults.delayMillis())) {
            mCallersGone.incrementAndGet();
            return;
        }
        if (happens(faults.dropPercent())) {
            exchange.abort(AbortCause.UPSTREAM_FAILED, "a fault of the stand-in");
            return;
        }
        ObjectNode json = Json.object();
        json.put("service", mName);
        json.put("method", exchange.method().toString());
        json.put("path", exchange.pathAndQuery());
        json.put("bytes", bytes);
        json.put("sha256", hasher.hash().toString());
        json.put("key", key);
        String echoed = happens(faults.wrongIdPercent()) ? "another-request" : id;
        answer(exchange, json, echoed);
    }

    /** Works for a while; returns true as soon as the caller closes its connection. */
    private static boolean callerLeaves(ServerExchange exchange, long workMillis)
            throws InterruptedException {
        CountDownLatch gone = new CountDownLatch(1);
        exchange.onGone(gone::countDown);
        return gone.await(workMillis, TimeUnit.MILLISECONDS);
    }

    private synchronized void execute(String id, String key) {
        mById.merge(id, 1, Integer::sum);
        if (key != null) {
            mByKey.merge(key, 1, Integer::sum);
        }
    }

    private synchronized boolean happens(int percent) {
        return mRandom.nextInt(100) < percent;
    }

    private static void big(ServerExchange exchange) throws Exception {
        long bytes = number(exchange, "bytes", 0);
        HeaderMap headers = new HeaderMap();
        if (exchange.query("length") == null) {
            headers.put(Headers.CONTENT_LENGTH, bytes);
        }
        exchange.start(StatusCodes.OK, headers);
        long cut = number(exchange, "cut", bytes);
        long stall = number(exchange, "stall", bytes);
        send(exchange, Math.min(cut, stall));
        if (cut < bytes) {
            exchange.abort(AbortCause.UPSTREAM_FAILED, "a fault of the stand-in");
            return;
        }
        if (stall < bytes && callerLeaves(exchange, TIMEOUT.toMillis())) {
            return;
        }
        exchange.end(TIMEOUT);
    }

    private static long number(ServerExchange exchange, String name, long defaultNumber) {
        String text = exchange.query(name);
        return text == null ? defaultNumber : Long.parseLong(text);
    }

    private static void send(ServerExchange exchange, long bytes) throws Exception {
        long left = bytes;
        while (left > 0) {
            byte[] part = new byte[(int) Math.min(left, PART_BYTES)];
            exchange.write(part, TIMEOUT);
            left -= part.length;
        }
    }

    private static void answer(ServerExchange exchange, ObjectNode json, String id)
            throws IOException, TimeoutException, InterruptedException {
        HeaderMap headers = new HeaderMap().put(Headers.CONTENT_TYPE, "application/json");
        if (id != null) {
            headers.put(REQUEST_ID, id);
        }
        exchange.answer(StatusCodes.OK, headers, Json.bytes(json), TIMEOUT);
    }

    @Override
    public void close() {
        mServer.close();
    }
}
