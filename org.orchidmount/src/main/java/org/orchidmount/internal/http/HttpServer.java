/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.server.handlers.HttpContinueReadHandler;
import io.undertow.util.AttachmentKey;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.orchidmount.internal.log.PartLog;
import org.xnio.Options;

/**
 * An HTTP listener that gives each request a virtual thread.
 *
 * <p>Thread-safe after construction.
 */
public final class HttpServer implements AutoCloseable {
    private static final PartLog LOG = PartLog.of("http");

    /** Bytes read at a time. */
    private static final int BUFFER_BYTES = 16 * 1024;

    /** Bytes that the system holds for each socket. */
    private static final int SOCKET_BUFFER_BYTES = 64 * 1024;

    /** Each handler bounds bodies itself, by its own limit. */
    private static final long UNLIMITED = -1;

    /**
     * How long the close of the listener waits for an I/O thread, for those of requests, or for
     * callers.
     */
    private static final Duration MAX_TURN = Duration.ofMillis(200);

    private static final AttachmentKey<Boolean> TRACKED = AttachmentKey.create(Boolean.class);

    private final ExecutorService mThreads = Executors.newVirtualThreadPerTaskExecutor();
    private final Undertow mUndertow;
    private final RequestHandler mHandler;
    private final BodyMemory mBodyMemory;
    private final Set<ServerExchange> mActive = ConcurrentHashMap.newKeySet();
    private final AbortedResponses mAbortedResponses = new AbortedResponses();
    private final Set<ServerConnection> mIdle = ConcurrentHashMap.newKeySet();
    private final LingeringClose mLingeringClose = new LingeringClose();
    private volatile boolean mDraining;
    private volatile boolean mIsClosing;

    /**
     * Starts to listen, without a bound on the bodies held.
     *
     * @param host the IP address
     * @param port the TCP port, 0 for a free one
     * @param limits what is taken from a sender
     * @param ioThreads the number of I/O threads
     * @param handler serves the requests
     * @throws RuntimeException if the address cannot be bound
     */
    public HttpServer(
            String host, int port, HttpLimits limits, int ioThreads, RequestHandler handler) {
        this(host, port, limits, ioThreads, BodyMemory.unbounded(), handler);
    }

    /**
     * Starts to listen.
     *
     * @param host the IP address
     * @param port the TCP port, 0 for a free one
     * @param limits what is taken from a sender
     * @param ioThreads the number of I/O threads
     * @param bodyMemory memory for the bodies of requests
     * @param handler serves the requests
     * @throws RuntimeException if the address cannot be bound
     */
    public HttpServer(
            String host,
            int port,
            HttpLimits limits,
            int ioThreads,
            BodyMemory bodyMemory,
            RequestHandler handler) {
        mBodyMemory = bodyMemory;
        mHandler = handler;
        HttpHandler root = new HttpContinueReadHandler(this::dispatch);
        mUndertow =
                Undertow.builder()
                        .addHttpListener(port, host)
                        .setIoThreads(ioThreads)
                        .setWorkerThreads(1)
                        .setBufferSize(BUFFER_BYTES)
                        .setDirectBuffers(false)
                        .setServerOption(UndertowOptions.MAX_HEADER_SIZE, limits.maxHeaderBytes())
                        .setServerOption(
                                UndertowOptions.REQUEST_PARSE_TIMEOUT,
                                (int) limits.headerTimeout().toMillis())
                        .setServerOption(
                                UndertowOptions.NO_REQUEST_TIMEOUT,
                                (int) limits.idleTimeout().toMillis())
                        .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
                        .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, UNLIMITED)
                        .setServerOption(UndertowOptions.BUFFER_PIPELINED_DATA, false)
                        .setSocketOption(Options.TCP_NODELAY, true)
                        .setSocketOption(Options.SEND_BUFFER, SOCKET_BUFFER_BYTES)
                        .setSocketOption(Options.CONNECTION_HIGH_WATER, limits.maxConnections())
                        .setSocketOption(Options.CONNECTION_LOW_WATER, limits.maxConnections())
                        .setHandler(root)
                        .build();
        mUndertow.start();
    }

    private void dispatch(HttpServerExchange exchange) {
        ServerConnection connection = exchange.getConnection();
        mIdle.remove(connection);
        if (connection.getAttachment(TRACKED) == null) {
            connection.putAttachment(TRACKED, true);
            connection.addCloseListener(mIdle::remove);
        }
        ServerExchange request =
                new ServerExchange(
                        exchange, () -> mDraining, mAbortedResponses, mLingeringClose, mBodyMemory);
        exchange.addExchangeCompleteListener(
                (ended, next) -> {
                    if (request.isLast()) {
                        mLingeringClose.start(connection);
                        return;
                    }
                    if (connection.isOpen()) {
                        mIdle.add(connection);
                    }
                    next.proceed();
                });
        mActive.add(request);
        exchange.dispatch(mThreads, () -> serve(request));
    }

    /** An error of the virtual machine ends the response as well, so that its caller learns it. */
    private void serve(ServerExchange request) {
        try {
            request.startReading();
            mHandler.handle(request);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            request.abort(AbortCause.INSTANCE_STOPS, "the request was interrupted");
        } catch (TimeoutException e) {
            request.abort(AbortCause.CALLER_TOO_SLOW, String.valueOf(e.getMessage()));
        } catch (Throwable e) {
            fail(request, e);
        } finally {
            request.releaseBody();
            closeIfGone(request);
            request.whenDelivered(() -> mActive.remove(request));
        }
    }

    /** A caller that has only ended its side of the connection would wait for the other. */
    private static void closeIfGone(ServerExchange request) {
        if (request.isGone()) {
            request.abort(AbortCause.INTERNAL_ERROR, "its caller has gone");
        }
    }

    /** While the listener closes, requests that have just arrived fail for that reason. */
    private void fail(ServerExchange request, Throwable error) {
        boolean isExpected = mIsClosing || request.isGone() || request.isAborted();
        AbortCause cause = mIsClosing ? AbortCause.INSTANCE_STOPS : AbortCause.INTERNAL_ERROR;
        request.abort(cause, error.toString());
        if (!isExpected) {
            LOG.error("request " + request.method() + " " + request.path() + " failed", error);
        }
    }

    /**
     * Closes the kept connections on which no request is being served. A request that arrives at
     * the same moment is not taken.
     */
    public void closeIdle() {
        for (ServerConnection connection : mIdle) {
            connection
                    .getIoThread()
                    .execute(
                            () -> {
                                if (mIdle.remove(connection)) {
                                    mLingeringClose.start(connection);
                                }
                            });
        }
    }

    /** From now on closes each connection after its answer, because the listener will close. */
    public void drain() {
        mDraining = true;
    }

    /**
     * Returns the number of requests that are being served.
     *
     * @return requests whose head was read and whose answer has not ended
     */
    public int active() {
        return mActive.size();
    }

    /**
     * Returns the responses that were given up.
     *
     * @return their counts
     */
    public AbortedResponses abortedResponses() {
        return mAbortedResponses;
    }

    /**
     * Returns the port bound.
     *
     * @return the TCP port
     */
    public int port() {
        return ((InetSocketAddress) mUndertow.getListenerInfo().getFirst().getAddress()).getPort();
    }

    /** Stops listening, gives up the responses under way and closes all connections. */
    @Override
    public void close() {
        mIsClosing = true;
        for (ServerExchange request : mActive) {
            request.abort(AbortCause.INSTANCE_STOPS, "the time for the stop is over");
        }
        awaitTurns();
        awaitCallers();
        mUndertow.stop();
        mThreads.shutdownNow();
        awaitThreads();
    }

    /** Lets callers that still send read the end of their whole responses. */
    private void awaitCallers() {
        try {
            mLingeringClose.await(MAX_TURN);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Lets the threads of requests write their last lines into the log. */
    private void awaitThreads() {
        try {
            if (!mThreads.awaitTermination(MAX_TURN.toNanos(), TimeUnit.NANOSECONDS)) {
                LOG.warn("threads of requests have not ended in time");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits until the I/O threads of all requests have done what they were asked to do. */
    private void awaitTurns() {
        try {
            CompletableFuture.allOf(
                            mActive.stream()
                                    .map(ServerExchange::turn)
                                    .toArray(CompletableFuture[]::new))
                    .get(MAX_TURN.toNanos(), TimeUnit.NANOSECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException | RejectedExecutionException e) {
            LOG.warn("not all responses are given up in time: %s", e);
        }
    }

    /** Serves one request on a virtual thread. */
    @FunctionalInterface
    public interface RequestHandler {
        /**
         * Serves a request: reads it and answers it. If an exception leaves this method, the
         * connection is closed.
         *
         * @param request the request
         * @throws Exception if the answer cannot be completed
         */
        void handle(ServerExchange request) throws Exception;
    }
}
