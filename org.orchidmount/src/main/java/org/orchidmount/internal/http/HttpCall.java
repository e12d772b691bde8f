/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.util.Headers;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.orchidmount.errors.CallFailedException;
import org.orchidmount.errors.Failure;
import org.orchidmount.errors.Step;
import org.orchidmount.internal.log.PartLog;
import org.orchidmount.upstream.CancelSignal;

/**
 * One call to an upstream, seen from a virtual thread.
 *
 * <p>Invariants: the connection is touched on its I/O thread only. A response is that of its call:
 * it carries the call's identity, or came on a connection on which no call was made before. Only a
 * connection whose response carried its call's identity and was read whole goes back to the pool.
 * Used by one thread, except {@link #abort()}, which any thread may call.
 */
public final class HttpCall implements AutoCloseable {
    private static final PartLog LOG = PartLog.of("connections");

    private final HttpConnections mPool;
    private final Peer mPeer;
    private final Step mStep;
    private final PooledConnection mPooled;
    private final CallErrors mErrors;
    private final boolean mIsShared;
    private final ClientConnection mConnection;
    private final CompletableFuture<ClientExchange> mReady = new CompletableFuture<>();
    private final CompletableFuture<ClientResponse> mResponse = new CompletableFuture<>();
    private final ByteQueue mBody = new ByteQueue(this::resumeReading);
    private volatile ChannelPump mPump;
    private volatile ChannelWriter mWriter;
    private volatile Optional<String> mIdentity = Optional.empty();
    private volatile boolean mIsIdentified;
    private CancelSignal.Registration mCancelRegistration = () -> {};
    private volatile boolean mIsAborted;
    private volatile long mHeardNanos;
    private boolean mRequestEnded;
    private boolean mClosed;

    /**
     * Begins a call on a connection.
     *
     * @param pool takes the connection back
     * @param peer who is called
     * @param step the step, for errors
     * @param connection the connection
     * @param isShared whether other calls may be made on the connection, before or after
     */
    HttpCall(
            HttpConnections pool,
            Peer peer,
            Step step,
            PooledConnection connection,
            boolean isShared) {
        mPool = pool;
        mPeer = peer;
        mStep = step;
        mPooled = connection;
        mErrors = new CallErrors(step, peer.name());
        mIsShared = isShared;
        mConnection = connection.connection();
        mHeardNanos = pool.nanoTime();
        connection.begin(this);
    }

    /** Makes a cancel break the call off, until the call is closed. */
    void abortOn(CancelSignal cancel) {
        mCancelRegistration = cancel.onCancel(this::abort);
    }

    /** Sends the head. The body follows by {@link #write}, or the call ends with the head. */
    void send(HttpHead head, boolean hasBody) {
        mRequestEnded = !hasBody;
        mIdentity = mPool.identity(head.headers());
        mIdentity.ifPresent(mPooled::carry);
        ClientRequest request = new ClientRequest().setMethod(head.method()).setPath(head.path());
        request.getRequestHeaders().putAll(head.headers());
        if (!request.getRequestHeaders().contains(Headers.HOST)) {
            request.getRequestHeaders().put(Headers.HOST, mPeer.host() + ":" + mPeer.port());
        }
        mConnection.getIoThread().execute(() -> sendOnIoThread(request));
    }

    private void sendOnIoThread(ClientRequest request) {
        if (!mConnection.isOpen()) {
            failAll(new CallErrors.NotSentException());
            return;
        }
        mPooled.restartLimit();
        mConnection.sendRequest(
                request,
                new Callback() {
                    @Override
                    public void completed(ClientExchange exchange) {
                        onExchange(exchange);
                    }
                });
    }

    private void onExchange(ClientExchange exchange) {
        exchange.setResponseListener(
                new Callback() {
                    @Override
                    public void completed(ClientExchange answered) {
                        onResponse(answered);
                    }
                });
        mWriter = new ChannelWriter(mConnection.getIoThread(), exchange.getRequestChannel());
        mReady.complete(exchange);
    }

    private void onResponse(ClientExchange exchange) {
        ClientResponse response = exchange.getResponse();
        Optional<String> fault = ResponseHeadCheck.fault(response);
        if (fault.isPresent()) {
            failAll(new CallErrors.GarbledResponseException(fault.get()));
            mPooled.giveUp(this);
            return;
        }
        Optional<String> received = mPool.identity(response.getResponseHeaders());
        if (CallIdentity.isForeign(mIdentity, received, mPooled.uses() == 1)) {
            refuseForeign(response, received);
            return;
        }
        mIsIdentified = received.isPresent() && received.equals(mIdentity);
        LOG.debug(CallIdentity.DESCRIPTION, describe(response, received));
        mPump = mPooled.pump(exchange.getResponseChannel(), mBody);
        mResponse.complete(exchange.getResponse());
        mPump.start();
    }

    private void refuseForeign(ClientResponse response, Optional<String> received) {
        LOG.info(CallIdentity.DESCRIPTION, describe(response, received));
        mPool.surplusFrom(mPeer);
        failAll(new CallErrors.ForeignResponseException());
        mPooled.giveUp(this);
    }

    private Object[] describe(ClientResponse response, Optional<String> received) {
        return CallIdentity.describe(
                mPooled, mPeer, mStep, mIdentity, response.getResponseCode(), received);
    }

    private void resumeReading() {
        mConnection.getIoThread().execute(() -> mPump.resume());
    }

    void failAll(IOException error) {
        mReady.completeExceptionally(error);
        mResponse.completeExceptionally(error);
        mBody.fail(error);
        ChannelWriter writer = mWriter;
        if (writer != null) {
            writer.fail(error);
        }
    }

    /**
     * Sends a part of the body and waits for the socket to take it.
     *
     * @param bytes the part
     * @param timeout the longest wait
     * @throws CallFailedException if the connection breaks or the wait is too long
     */
    public void write(byte[] bytes, Duration timeout) throws CallFailedException {
        guarded(
                () -> {
                    await(mReady, timeout);
                    mWriter.write(bytes, timeout);
                    return null;
                });
    }

    /**
     * Ends the body.
     *
     * @param timeout the longest wait
     * @throws CallFailedException if the connection breaks or the wait is too long
     */
    public void endRequest(Duration timeout) throws CallFailedException {
        guarded(
                () -> {
                    await(mReady, timeout);
                    endWriting(timeout);
                    mRequestEnded = true;
                    return null;
                });
    }

    /** A peer may close the connection behind a whole answer before the end is written. */
    private void endWriting(Duration timeout)
            throws IOException, TimeoutException, InterruptedException {
        try {
            mWriter.end(timeout);
        } catch (IOException e) {
            if (!mBody.hasEndedWhole()) {
                throw e;
            }
            LOG.debug("%s: a whole answer came before the end was written", mPeer.name());
        }
    }

    /**
     * Waits for the head of the answer.
     *
     * @param timeout the longest wait
     * @return status and header fields
     * @throws CallFailedException if the connection breaks or the wait is too long
     */
    public ClientResponse awaitResponse(Duration timeout) throws CallFailedException {
        ClientResponse response =
                guarded(() -> reportingSilence(timeout, part -> await(mResponse, part)));
        long beforeNanos = mHeardNanos;
        mHeardNanos = mPool.nanoTime();
        if (mPooled.through().isEmpty()) {
            mPool.responded(mPeer, Duration.ofNanos(mHeardNanos - beforeNanos));
        }
        return response;
    }

    /** Waits for the head of the answer to the handshake of a tunnel. */
    ClientResponse awaitHandshake(Duration timeout) throws CallFailedException {
        return guarded(() -> await(mResponse, timeout));
    }

    /**
     * Takes the connection out of a call whose answer was read whole, so that it serves other calls
     * as if it were new.
     */
    PooledConnection takeConnection() throws CallFailedException {
        mClosed = true;
        mCancelRegistration.close();
        if (!mBody.isDrained() || !mPooled.end(this)) {
            throw ConnectionOpener.unreachable(mPeer, mStep, "the tunnel has closed");
        }
        mPooled.handshakeEnded();
        return mPooled;
    }

    /** Reports the silence of an upstream on a direct connection while it waits. */
    private <T> T reportingSilence(Duration timeout, SilentWait.Wait<T> wait)
            throws IOException, TimeoutException, InterruptedException {
        return mPooled.through().isEmpty()
                ? SilentWait.await(timeout, wait, () -> mPool.silent(mPeer))
                : wait.await(timeout);
    }

    private void heard() {
        mHeardNanos = mPool.nanoTime();
        if (mPooled.through().isEmpty()) {
            mPool.heard(mPeer);
        }
    }

    /**
     * Returns the instance through which the call was made.
     *
     * @return its name; empty if the connection is direct
     */
    public Optional<String> through() {
        return mPooled.through();
    }

    /**
     * Makes the call fail with {@link Failure.PathLost} if the direct path to all upstreams is lost
     * and another path is found, so that it can be repeated there.
     */
    public void abortIfPathIsLost() {
        if (mPooled.through().isEmpty()) {
            mPool.abortIfPathIsLost(this);
        }
    }

    Peer peer() {
        return mPeer;
    }

    /** Breaks the call off if nothing was received since a time. */
    void pathLost(long sinceNanos) {
        if (mHeardNanos - sinceNanos < 0) {
            failAll(new CallErrors.PathLostException());
            mPooled.giveUp(this);
        }
    }

    /**
     * Reads the next part of the answer's body.
     *
     * @param timeout the longest wait
     * @return the part, or null at the end
     * @throws CallFailedException if the connection breaks or the wait is too long
     */
    public byte[] read(Duration timeout) throws CallFailedException {
        byte[] part = guarded(() -> reportingSilence(timeout, mBody::take));
        if (part != null) {
            heard();
        }
        return part;
    }

    /**
     * Reads the rest of the answer's body.
     *
     * @param timeout the longest time for all of it
     * @param mostBytes the largest body taken
     * @return the body
     * @throws CallFailedException if the connection breaks, the wait is too long or the body is too
     *     large
     */
    public byte[] readAll(Duration timeout, int mostBytes) throws CallFailedException {
        long endNanos = endNanos(timeout);
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        for (byte[] part = readUntil(endNanos); part != null; part = readUntil(endNanos)) {
            if (body.size() + part.length > mostBytes) {
                throw tooLarge(mostBytes);
            }
            body.writeBytes(part);
        }
        return body.toByteArray();
    }

    /**
     * Reads the rest of the answer's body and drops it, so that the connection can be used again.
     *
     * @param timeout the longest time for all of it
     * @param mostBytes after so many bytes the rest is left
     * @throws CallFailedException if the connection breaks or the wait is too long
     */
    public void discard(Duration timeout, int mostBytes) throws CallFailedException {
        long endNanos = endNanos(timeout);
        int readBytes = 0;
        byte[] part = readUntil(endNanos);
        while (part != null && readBytes <= mostBytes) {
            readBytes += part.length;
            part = readUntil(endNanos);
        }
    }

    CallFailedException tooLarge(int mostBytes) {
        return new CallFailedException(
                new Failure.Garbled(mStep, mPeer.name(), "answer is larger than " + mostBytes));
    }

    /** Returns when a time that begins now is over, for {@link #readUntil}. */
    long endNanos(Duration timeout) {
        return mPool.nanoTime() + timeout.toNanos();
    }

    byte[] readUntil(long endNanos) throws CallFailedException {
        return read(Duration.ofNanos(endNanos - mPool.nanoTime()));
    }

    /**
     * Limits how long the connection may rest before it is used again.
     *
     * @param limit the longest rest; zero if it is to be closed
     */
    public void limitIdle(Duration limit) {
        mPooled.setIdleLimitNanos(limit.toNanos());
    }

    /** Breaks the call off from any thread; a waiting reader or writer fails at once. */
    public void abort() {
        mIsAborted = true;
        failAll(new IOException("call aborted"));
        mPooled.giveUp(this);
    }

    /** Ends the call: keeps its connection if the next response on it can be told apart. */
    @Override
    public void close() {
        if (mClosed) {
            return;
        }
        mClosed = true;
        mCancelRegistration.close();
        mPool.ended(this);
        boolean isWhole = mRequestEnded && mBody.isDrained();
        boolean isKept = isWhole && mIsShared && mIsIdentified && mPooled.isReusable();
        if (isKept && mPooled.end(this)) {
            mPool.release(mPeer, mPooled);
        } else {
            abort();
        }
    }

    private <T> T guarded(CallErrors.Blocking<T> blocking) throws CallFailedException {
        try {
            return mErrors.guard(blocking, this::abort);
        } catch (CallFailedException e) {
            boolean isBroken = e.failure() instanceof Failure.Broken && !mIsAborted;
            if (isBroken && mPooled.through().isEmpty()) {
                mPool.broken(mPeer);
            }
            throw e;
        }
    }

    private static <T> T await(CompletableFuture<T> future, Duration timeout)
            throws IOException, TimeoutException, InterruptedException {
        try {
            return future.get(timeout.toNanos(), TimeUnit.NANOSECONDS);
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().getMessage(), e.getCause());
        }
    }

    private abstract class Callback implements ClientCallback<ClientExchange> {
        @Override
        public void failed(IOException e) {
            failAll(e);
        }
    }
}
