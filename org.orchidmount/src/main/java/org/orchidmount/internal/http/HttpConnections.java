/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import io.undertow.UndertowOptions;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.errors.CallFailedException;
import org.orchidmount.errors.Failure;
import org.orchidmount.errors.Step;
import org.orchidmount.internal.lock.LockRank;
import org.orchidmount.internal.lock.OrderedLock;
import org.orchidmount.upstream.CancelSignal;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioWorker;

/**
 * Connections to upstreams, kept for reuse for a short while.
 *
 * <p>Invariants: a connection is used by one call at a time; no two calls with the same identity
 * are made on one connection, and no call without an identity on a connection that was used before.
 * So a surplus response of an upstream is never taken for that of a later call. Thread-safe.
 */
public final class HttpConnections implements AutoCloseable {
    private static final String CANCELLED = "cancelled before anything was sent";

    /** Bytes read at a time. */
    private static final int BUFFER_BYTES = 16 * 1024;

    /** Bytes that the system holds for each socket. */
    private static final int SOCKET_BUFFER_BYTES = 64 * 1024;

    /** Idle connections kept for each peer. */
    private static final int MAX_IDLE_PER_PEER = 64;

    /** Nanoseconds that an idle connection is kept at most. */
    private static final long MAX_IDLE_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final OrderedLock mLock = new OrderedLock(LockRank.CONNECTIONS);
    private final Map<Peer, Deque<Idle>> mIdle = new HashMap<>();
    private long mLastSweepNanos;
    private final ReuseSuspensions mSuspensions = new ReuseSuspensions();
    private final XnioWorker mWorker;
    private final MonotonicClock mClock;
    private final Duration mConnectTimeout;
    private final HttpString mIdentityField;
    private final AddressMap mAddresses;
    private final ConnectionCounters mCounters = new ConnectionCounters();
    private final AtomicLong mNumber = new AtomicLong();
    private final ByteBufferPool mBuffers = new DefaultByteBufferPool(false, BUFFER_BYTES);
    private final OptionMap mOptions =
            OptionMap.builder()
                    .set(Options.TCP_NODELAY, true)
                    .set(Options.RECEIVE_BUFFER, SOCKET_BUFFER_BYTES)
                    .set(UndertowOptions.ENABLE_STATISTICS, true)
                    .getMap();

    /**
     * Creates an empty pool.
     *
     * @param worker runs the I/O threads
     * @param clock tells how long a connection has been idle
     * @param connectTimeout the longest wait for a new connection
     * @param identityField the field by which a response carries the identity of its call back
     */
    public HttpConnections(
            XnioWorker worker,
            MonotonicClock clock,
            Duration connectTimeout,
            HttpString identityField) {
        this(worker, clock, connectTimeout, identityField, AddressMap.IDENTITY);
    }

    /**
     * Creates an empty pool.
     *
     * @param worker runs the I/O threads
     * @param clock tells how long a connection has been idle
     * @param connectTimeout the longest wait for a new connection
     * @param identityField the field by which a response carries the identity of its call back
     * @param addresses where peers are dialled
     */
    public HttpConnections(
            XnioWorker worker,
            MonotonicClock clock,
            Duration connectTimeout,
            HttpString identityField,
            AddressMap addresses) {
        mAddresses = addresses;
        mWorker = worker;
        mClock = clock;
        mConnectTimeout = connectTimeout;
        mIdentityField = identityField;
        mLastSweepNanos = clock.nanoTime();
    }

    /**
     * Returns what the connections were used for so far.
     *
     * @return the counters, which go on counting
     */
    public ConnectionCounters counters() {
        return mCounters;
    }

    /** Returns the identity of a call or of a response, from its header fields. */
    Optional<String> identity(HeaderMap headers) {
        return Optional.ofNullable(headers.getFirst(mIdentityField));
    }

    /**
     * Makes a call that nothing cancels, without a body.
     *
     * @param peer whom to call
     * @param step the step, for errors
     * @param head the request's head
     * @return the call
     * @throws CallFailedException with {@link Failure.Unreachable} if nothing could be sent
     */
    public HttpCall call(Peer peer, Step step, HttpHead head) throws CallFailedException {
        return call(peer, step, head, new CancelSignal());
    }

    /**
     * Connects, or takes an idle connection, and sends the head of a request without a body.
     *
     * @param peer whom to call
     * @param step the step, for errors
     * @param head the request's head
     * @param cancel breaks the call off, from now until it is closed
     * @return the call
     * @throws CallFailedException with {@link Failure.Unreachable} if nothing could be sent
     */
    public HttpCall call(Peer peer, Step step, HttpHead head, CancelSignal cancel)
            throws CallFailedException {
        HttpCall call = connect(peer, step, identity(head.headers()), cancel);
        call.send(head, false);
        return call;
    }

    /**
     * Makes a call that nothing cancels, with a whole body.
     *
     * @param peer whom to call
     * @param step the step, for errors
     * @param head the request's head; the length is set here
     * @param body the body
     * @param timeout the longest wait for the socket to take the body
     * @return the call
     * @throws CallFailedException with {@link Failure.Unreachable} if nothing could be sent
     */
    public HttpCall call(Peer peer, Step step, HttpHead head, byte[] body, Duration timeout)
            throws CallFailedException {
        return call(peer, step, head, body, timeout, new CancelSignal());
    }

    /**
     * Sends a request with a whole body.
     *
     * @param peer whom to call
     * @param step the step, for errors
     * @param head the request's head; the length is set here
     * @param body the body
     * @param timeout the longest wait for the socket to take the body
     * @param cancel breaks the call off, from now until it is closed
     * @return the call
     * @throws CallFailedException with {@link Failure.Unreachable} if nothing could be sent
     */
    public HttpCall call(
            Peer peer, Step step, HttpHead head, byte[] body, Duration timeout, CancelSignal cancel)
            throws CallFailedException {
        head.headers().put(Headers.CONTENT_LENGTH, body.length);
        return sendWhole(
                connect(peer, step, identity(head.headers()), cancel), head, body, timeout);
    }

    /**
     * Sends a request with a whole body on a connection of its own, for an upstream whose responses
     * need not carry the identity of their calls.
     *
     * @param peer whom to call
     * @param step the step, for errors
     * @param head the request's head; the length is set here
     * @param body the body
     * @param timeout the longest wait for the socket to take the body
     * @param cancel breaks the call off, from now until it is closed
     * @return the call
     * @throws CallFailedException with {@link Failure.Unreachable} if nothing could be sent
     */
    public HttpCall callFresh(
            Peer peer, Step step, HttpHead head, byte[] body, Duration timeout, CancelSignal cancel)
            throws CallFailedException {
        head.headers().put(Headers.CONTENT_LENGTH, body.length);
        return sendWhole(connect(peer, step, Optional.empty(), cancel), head, body, timeout);
    }

    private static HttpCall sendWhole(HttpCall call, HttpHead head, byte[] body, Duration timeout)
            throws CallFailedException {
        call.send(head, true);
        try {
            call.write(body, timeout);
            call.endRequest(timeout);
            return call;
        } catch (CallFailedException e) {
            call.close();
            throw e;
        }
    }

    /**
     * Sends the head of a request, whose body may follow in parts, on a connection of its own: an
     * idle one that the peer has just closed would leave it open whether the call ran, and on a new
     * one the first response is that of the call, whether or not it carries an identity. The
     * connection serves no other call after it.
     *
     * @param peer whom to call
     * @param step the step, for errors
     * @param head the request's head
     * @param hasBody false if no body follows
     * @param cancel breaks the call off, from now until it is closed
     * @return the call
     * @throws CallFailedException with {@link Failure.Unreachable} if nothing could be sent
     */
    public HttpCall callFresh(
            Peer peer, Step step, HttpHead head, boolean hasBody, CancelSignal cancel)
            throws CallFailedException {
        HttpCall call = connect(peer, step, Optional.empty(), cancel);
        call.send(head, hasBody);
        return call;
    }

    /**
     * Makes a call that a cancel ends, whatever it waits for. Callers need not ask whether their
     * work was cancelled before: then the call fails here, and nothing is sent. Without an identity
     * the call gets a connection of its own, which serves no other call after it.
     */
    private HttpCall connect(Peer peer, Step step, Optional<String> identity, CancelSignal cancel)
            throws CallFailedException {
        if (cancel.isCancelled()) {
            throw unreachable(peer, step, CANCELLED);
        }
        PooledConnection idle = identity.isEmpty() ? null : takeIdle(peer, identity.get());
        PooledConnection connection = idle != null ? idle : openPooled(peer, step, cancel);
        if (idle != null) {
            mCounters.reused();
        }
        HttpCall call = new HttpCall(this, peer, step, connection, identity.isPresent());
        call.abortOn(cancel);
        return call;
    }

    private PooledConnection openPooled(Peer peer, Step step, CancelSignal cancel)
            throws CallFailedException {
        ClientConnection connection = open(peer, step, cancel);
        mCounters.opened();
        return new PooledConnection(connection, mNumber.incrementAndGet(), () -> surplusFrom(peer));
    }

    private ClientConnection open(Peer peer, Step step, CancelSignal cancel)
            throws CallFailedException {
        CompletableFuture<ClientConnection> opened = new CompletableFuture<>();
        UndertowClient.getInstance()
                .connect(new Connected(opened), uriOf(peer), mWorker, mBuffers, mOptions);
        try (CancelSignal.Registration _ =
                cancel.onCancel(() -> opened.completeExceptionally(new IOException(CANCELLED)))) {
            return opened.get(mConnectTimeout.toNanos(), TimeUnit.NANOSECONDS);
        } catch (ExecutionException e) {
            throw unreachable(peer, step, String.valueOf(e.getCause().getMessage()));
        } catch (TimeoutException e) {
            opened.completeExceptionally(e);
            opened.thenAccept(PooledConnection::closeLater);
            throw unreachable(peer, step, "no connection in " + mConnectTimeout.toMillis() + " ms");
        } catch (InterruptedException e) {
            opened.completeExceptionally(e);
            opened.thenAccept(PooledConnection::closeLater);
            Thread.currentThread().interrupt();
            throw unreachable(peer, step, "interrupted");
        }
    }

    private URI uriOf(Peer peer) {
        InetSocketAddress address = mAddresses.toDialled(peer.address());
        return URI.create("http://" + address.getHostString() + ":" + address.getPort());
    }

    private static CallFailedException unreachable(Peer peer, Step step, String detail) {
        return new CallFailedException(new Failure.Unreachable(step, peer.name(), detail));
    }

    private PooledConnection takeIdle(Peer peer, String identity) {
        try (OrderedLock.Held _ = mLock.hold()) {
            Deque<Idle> idle = mIdle.get(peer);
            if (idle == null) {
                return null;
            }
            Iterator<Idle> newestFirst = idle.descendingIterator();
            while (newestFirst.hasNext()) {
                Idle next = newestFirst.next();
                PooledConnection connection = next.connection();
                if (!isUsable(next)) {
                    newestFirst.remove();
                    connection.closeLater();
                } else if (!connection.hasCarried(identity)) {
                    newestFirst.remove();
                    return connection;
                }
            }
            return null;
        }
    }

    private boolean isUsable(Idle idle) {
        PooledConnection connection = idle.connection();
        long mostNanos = Math.min(MAX_IDLE_NANOS, connection.idleLimitNanos());
        return connection.isOpen() && mClock.nanoTime() - idle.sinceNanos() < mostNanos;
    }

    void release(Peer peer, PooledConnection connection) {
        try (OrderedLock.Held _ = mLock.hold()) {
            long nowNanos = mClock.nanoTime();
            if (mSuspensions.isSuspended(peer, nowNanos)) {
                connection.closeLater();
                return;
            }
            closeUnusable(nowNanos);
            Deque<Idle> idle = mIdle.computeIfAbsent(peer, p -> new ArrayDeque<>());
            if (idle.size() >= MAX_IDLE_PER_PEER) {
                idle.pollFirst().connection().closeLater();
            }
            idle.addLast(new Idle(connection, nowNanos));
        }
    }

    /** Now and then closes what is kept for peers to which no more calls are made. */
    private void closeUnusable(long nowNanos) {
        if (nowNanos - mLastSweepNanos < MAX_IDLE_NANOS) {
            return;
        }
        mLastSweepNanos = nowNanos;
        mIdle.values().forEach(this::closeUnusable);
        mIdle.values().removeIf(Deque::isEmpty);
    }

    private void closeUnusable(Deque<Idle> idle) {
        Iterator<Idle> each = idle.iterator();
        while (each.hasNext()) {
            Idle next = each.next();
            if (!isUsable(next)) {
                each.remove();
                next.connection().closeLater();
            }
        }
    }

    /** Notes that a peer has sent more responses than it was asked for. */
    void surplusFrom(Peer peer) {
        mCounters.surplus();
        try (OrderedLock.Held _ = mLock.hold()) {
            mSuspensions.suspend(peer, mClock.nanoTime());
            closeIdle(peer);
        }
    }

    private void closeIdle(Peer peer) {
        Deque<Idle> idle = mIdle.remove(peer);
        if (idle != null) {
            idle.forEach(each -> each.connection().closeLater());
        }
    }

    @Override
    public void close() {
        try (OrderedLock.Held _ = mLock.hold()) {
            mIdle.values().forEach(idle -> idle.forEach(i -> i.connection().closeLater()));
            mIdle.clear();
        }
    }

    private record Idle(PooledConnection connection, long sinceNanos) {}

    private record Connected(CompletableFuture<ClientConnection> opened)
            implements ClientCallback<ClientConnection> {
        @Override
        public void completed(ClientConnection connection) {
            if (!opened.complete(connection)) {
                PooledConnection.closeLater(connection);
            }
        }

        @Override
        public void failed(IOException e) {
            opened.completeExceptionally(e);
        }
    }
}
