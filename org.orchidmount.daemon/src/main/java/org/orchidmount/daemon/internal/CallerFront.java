/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.daemon.internal;

import io.undertow.util.HeaderMap;
import io.undertow.util.StatusCodes;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import org.orchidmount.internal.http.HttpLimits;
import org.orchidmount.internal.http.HttpServer;
import org.orchidmount.internal.http.ServerExchange;
import org.orchidmount.internal.upstream.EngineProtocol;
import org.orchidmount.settings.Settings;

/** The HTTP front for callers. Thread-safe. */
public final class CallerFront implements AutoCloseable {
    /** The path that takes up a broken stream. */
    static final String RESUME = "/v1/resume";

    /** Few, since requests run on virtual threads. */
    private static final int IO_THREADS = 2;

    private final Parts mParts;
    private final Readiness mReadiness;
    private final CompletionHandler mCompletions;
    private final PlainHandler mPlain;
    private final AtomicLong mCounter = new AtomicLong();
    private final Duration mWriteTimeout;
    private final HttpServer mServer;

    CallerFront(Parts parts, Readiness readiness) {
        mParts = parts;
        mReadiness = readiness;
        mCompletions = new CompletionHandler(parts);
        mPlain = new PlainHandler(parts);
        Settings.Callers settings = parts.settings().callers();
        mWriteTimeout = settings.writeTimeout();
        HttpLimits limits =
                new HttpLimits(
                        settings.maxHeaderBytes(),
                        settings.maxConnections(),
                        settings.headerTimeout(),
                        settings.idleTimeout());
        mServer =
                new HttpServer(
                        settings.host(),
                        settings.port(),
                        limits,
                        IO_THREADS,
                        parts.bodies(),
                        this::handle);
        AbortMetrics.register(parts.metrics(), "response", mServer.abortedResponses());
    }

    int port() {
        return mServer.port();
    }

    /** Closes each connection after its answer from now on. */
    void drain() {
        mServer.drain();
    }

    /** Tells whether no request is being served. */
    boolean isIdle() {
        return active() == 0;
    }

    /** Returns how many requests are being served. */
    int active() {
        return mServer.active();
    }

    private void handle(ServerExchange exchange) throws Exception {
        String id =
                mParts.settings().instance()
                        + "-"
                        + mParts.incarnation()
                        + "-"
                        + mCounter.incrementAndGet();
        exchange.identify(id);
        try {
            switch (exchange.path()) {
                case EngineProtocol.COMPLETIONS, EngineProtocol.CHAT_COMPLETIONS ->
                        mCompletions.complete(exchange, id);
                case RESUME -> mCompletions.resume(exchange, id);
                case Readiness.LIVE -> health(exchange, true, "live");
                case Readiness.READY ->
                        health(exchange, mReadiness.isReady(), mReadiness.explanation());
                default -> mPlain.call(exchange, id);
            }
        } catch (RefusedException e) {
            Answers.refuse(exchange, id, e.refusal(), mWriteTimeout);
        }
    }

    private void health(ServerExchange exchange, boolean good, String text) throws Exception {
        int status = good ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE;
        byte[] body = (text + "\n").getBytes(StandardCharsets.UTF_8);
        exchange.answer(status, new HeaderMap(), body, mWriteTimeout);
    }

    @Override
    public void close() {
        mServer.close();
    }
}
