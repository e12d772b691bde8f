/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.errors.CallFailedException;
import org.orchidmount.errors.Failure;
import org.orchidmount.errors.Step;
import org.orchidmount.upstream.CancelSignal;
import org.xnio.XnioWorker;

/**
 * Connections to upstreams, kept for reuse for a short while.
 *
 * <p>Invariants: a connection is used by one call at a time; no two calls with the same identity
 * are made on one connection, and no call without an identity on a connection that was used before.
 * So a surplus response of an upstream is never taken for that of a later call. Thread-safe.
 */
public final class HttpConnections implements AutoCloseable {
    /** Nanoseconds after which a tunnel is not used again while other paths are direct. */
    private static final long MAX_TUNNEL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final IdleConnections mIdle;
    private final MonotonicClock mClock;
    private final HttpString mIdentityField;
    private final ConnectionPaths mPaths;
    private final ConnectionOpener mOpener;
    private final PathProbes mProbes;

    /** Calls that are broken off once their path is known to be lost. */
    private final Set<HttpCall> mRepeatable = ConcurrentHashMap.newKeySet();

    private final ConnectionCounters mCounters = new ConnectionCounters();
    private volatile BodyMemory mBodyMemory = BodyMemory.unbounded();

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
        this(
                worker,
                clock,
                connectTimeout,
                identityField,
                AddressMap.IDENTITY,
                ConnectionPaths.DIRECT_ONLY);
    }

    /**
     * Creates an empty pool.
     *
     * @param worker runs the I/O threads
     * @param clock tells how long a connection has been idle
     * @param connectTimeout the longest wait for a new connection
     * @param identityField the field by which a response carries the identity of its call back
     * @param addresses where peers are dialled
     * @param paths decides how connections are opened
     */
    public HttpConnections(
            XnioWorker worker,
            MonotonicClock clock,
            Duration connectTimeout,
            HttpString identityField,
            AddressMap addresses,
            ConnectionPaths paths) {
        mClock = clock;
        mIdentityField = identityField;
        mPaths = paths;
        mOpener =
                new ConnectionOpener(this, worker, connectTimeout, identityField, addresses, paths);
        mProbes = new PathProbes(mOpener, paths);
        mIdle = new IdleConnections(clock);
    }

    /**
     * Returns what the connections were used for so far.
     *
     * @return the counters, which go on counting
     */
    public ConnectionCounters counters() {
        return mCounters;
    }

    /**
     * Bounds what is held of responses that are read whole.
     *
     * @param memory their memory
     */
    public void boundResponses(BodyMemory memory) {
        mBodyMemory = memory;
    }

    /**
     * Returns the memory of responses that are read whole.
     *
     * @return their memory, without bounds unless given
     */
    public BodyMemory bodyMemory() {
        return mBodyMemory;
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
            throw ConnectionOpener.unreachable(peer, step, ConnectionOpener.CANCELLED);
        }
        mPaths.awaitVerified();
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
        PooledConnection connection = mOpener.open(peer, step, cancel);
        mCounters.opened();
        return connection;
    }

    void release(Peer peer, PooledConnection connection) {
        if (isOutdated(connection)) {
            connection.closeLater();
        } else {
            mIdle.add(peer, connection);
        }
    }

    /** Returns whether a tunnel is to be replaced by a direct connection, if that is possible. */
    private boolean isOutdated(PooledConnection connection) {
        return connection.through().isPresent()
                && mPaths.current() == ConnectionPath.DIRECT
                && mClock.nanoTime() - connection.openedNanos() > MAX_TUNNEL_NANOS;
    }

    private PooledConnection takeIdle(Peer peer, String identity) {
        PooledConnection idle = mIdle.take(peer, identity);
        while (idle != null && isOutdated(idle)) {
            idle.closeLater();
            idle = mIdle.take(peer, identity);
        }
        return idle;
    }

    /**
     * Tells whether no upstream can be reached, so that every new connection fails at once.
     *
     * @return true while there is no path to any upstream
     */
    public boolean isCutOff() {
        return mPaths.current() == ConnectionPath.NONE;
    }

    /**
     * Returns how long connections have been opened as they are now.
     *
     * @return the time since the last change of path
     */
    public Duration sincePathChange() {
        return mPaths.sinceChange();
    }

    long nanoTime() {
        return mClock.nanoTime();
    }

    void responded(Peer peer, Duration took) {
        mPaths.responded(peer, took);
    }

    void heard(Peer peer) {
        mPaths.heard(peer);
    }

    void silent(Peer peer) {
        mPaths.silent(peer);
    }

    /**
     * Records that a direct connection to a peer broke under a call. The idle ones are closed: they
     * may be as broken, which is found out only by a request that may then have run.
     */
    void broken(Peer peer) {
        mIdle.closeIf(peer, connection -> connection.through().isEmpty());
        mPaths.broken(peer);
    }

    /**
     * Gives up the direct connections to a peer that only other instances reach: closes those that
     * are idle, and breaks off the calls that can be repeated and have received nothing since a
     * time.
     *
     * @param peer the peer
     * @param sinceNanos the time, of the monotonic clock
     */
    public void giveUpDirect(Peer peer, long sinceNanos) {
        mIdle.closeIf(peer, connection -> connection.through().isEmpty());
        mRepeatable.stream()
                .filter(call -> call.peer().equals(peer))
                .forEach(call -> call.pathLost(sinceNanos));
    }

    void abortIfPathIsLost(HttpCall call) {
        mRepeatable.add(call);
    }

    void ended(HttpCall call) {
        mRepeatable.remove(call);
    }

    /**
     * Returns the connection attempts by which paths are verified.
     *
     * @return the probes, which use the same addresses and paths as calls
     */
    public PathProbes probes() {
        return mProbes;
    }

    /**
     * Closes the idle connections of a path that is no longer used, since a request that is sent on
     * one may be lost.
     *
     * @param isTunnel true to close tunnels, false to close direct connections
     */
    public void closeIdle(boolean isTunnel) {
        mIdle.closeIf(connection -> connection.through().isPresent() == isTunnel);
    }

    /**
     * Breaks off the direct calls that can be repeated and have received nothing since a time.
     *
     * @param sinceNanos the time, of the monotonic clock
     */
    public void abortDirectCalls(long sinceNanos) {
        mRepeatable.forEach(call -> call.pathLost(sinceNanos));
    }

    /** Notes that a peer has sent more responses than it was asked for. */
    void surplusFrom(Peer peer) {
        mCounters.surplus();
        mIdle.suspend(peer);
    }

    @Override
    public void close() {
        mIdle.closeIf(connection -> true);
    }
}
