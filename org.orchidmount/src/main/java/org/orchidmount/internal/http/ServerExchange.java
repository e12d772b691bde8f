/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import io.undertow.util.Protocols;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.xnio.IoUtils;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSourceChannel;

/**
 * A request that this process serves, seen from a virtual thread.
 *
 * <p>Invariants: the exchange is touched on its I/O thread only once {@link #startReading} has been
 * called; a caller that closes its connection is noticed at any time after its request has been
 * read, even while nothing is being written to it. Used by one thread, except {@link #onGone},
 * {@link #isGone} and {@link #abort}, which are thread-safe.
 */
public final class ServerExchange {
    private final HttpServerExchange mExchange;
    private final XnioIoThread mIoThread;
    private final ByteQueue mBody = new ByteQueue(this::resumeReading);
    private final List<Runnable> mGoneActions = new ArrayList<>();
    private final ServerResponse mResponse;
    private final LingeringClose mLingeringClose;
    private final BodyMemory.Lease mLease;
    private volatile ChannelPump mPump;
    private volatile boolean mHasUnreadBody;
    private boolean mGone;

    /**
     * Wraps an exchange on its I/O thread, before it is dispatched.
     *
     * @param exchange the exchange
     * @param closing tells, when the answer begins, whether its connection is to be closed after it
     * @param aborted records an answer that is given up
     * @param lingeringClose closes the connection behind a whole answer
     * @param memory memory for its body
     */
    ServerExchange(
            HttpServerExchange exchange,
            BooleanSupplier closing,
            AbortedResponses aborted,
            LingeringClose lingeringClose,
            BodyMemory memory) {
        mExchange = exchange;
        mLingeringClose = lingeringClose;
        mIoThread = exchange.getIoThread();
        mLease = memory.open();
        mResponse =
                new ServerResponse(
                        exchange,
                        () -> mHasUnreadBody || closing.getAsBoolean(),
                        this::isGone,
                        this::markGone,
                        aborted,
                        this::finish);
        CurrentExchange.of(exchange.getConnection()).set(this);
    }

    /** Begins to read the body and then to watch the caller. Must run first. */
    public void startReading() {
        if (RequestFraming.endsByConnection(mExchange.getRequestHeaders())) {
            mBody.fail(new IOException("the end of the request's body cannot be told"));
            return;
        }
        mIoThread.execute(
                () -> {
                    StreamSourceChannel channel = mExchange.getRequestChannel();
                    mPump =
                            new ChannelPump(
                                    channel,
                                    mExchange.getConnection().getByteBufferPool(),
                                    mBody,
                                    new ReceiveLimit());
                    mPump.start();
                });
    }

    private void finish() {
        if (mResponse.isLast()) {
            mLingeringClose.start(mExchange.getConnection());
        } else if (mPump == null || mExchange.isRequestComplete()) {
            mExchange.endExchange();
        } else {
            mPump.discard(
                    mIoThread,
                    mExchange::endExchange,
                    () -> IoUtils.safeClose(mExchange.getConnection()));
        }
    }

    boolean isLast() {
        return mResponse.isLast();
    }

    private void resumeReading() {
        mIoThread.execute(() -> mPump.resume());
    }

    /**
     * Returns the HTTP method.
     *
     * @return the method
     */
    public HttpString method() {
        return mExchange.getRequestMethod();
    }

    /**
     * Returns the path without query.
     *
     * @return the path
     */
    public String path() {
        return mExchange.getRequestPath();
    }

    /**
     * Returns the path as it was sent, nothing decoded, without query.
     *
     * @return the path
     */
    public String rawPath() {
        return mExchange.getRequestURI();
    }

    /**
     * Returns path and query as they are to be forwarded.
     *
     * @return path and query
     */
    public String pathAndQuery() {
        String query = mExchange.getQueryString();
        return query.isEmpty()
                ? mExchange.getRequestURI()
                : mExchange.getRequestURI() + "?" + query;
    }

    /**
     * Returns the first value of a parameter of the query.
     *
     * @param name the parameter
     * @return the value, or null
     */
    public String query(String name) {
        var values = mExchange.getQueryParameters().get(name);
        return values == null ? null : values.peekFirst();
    }

    /**
     * Returns the request's header fields.
     *
     * @return the fields; not to be changed
     */
    public HeaderMap requestHeaders() {
        return mExchange.getRequestHeaders();
    }

    /**
     * Returns a request header field.
     *
     * @param name the field's name
     * @return its first value, or null
     */
    public String header(String name) {
        return mExchange.getRequestHeaders().getFirst(name);
    }

    /**
     * Returns the announced length of the body.
     *
     * @return bytes, or -1 if not announced
     */
    public long contentLength() {
        return mExchange.getRequestContentLength();
    }

    /**
     * Reads the next part of the body.
     *
     * @param timeout the longest wait
     * @return the part, or null at the end
     * @throws IOException if the connection breaks
     * @throws TimeoutException if the sender is too slow
     * @throws InterruptedException if the thread is interrupted
     */
    public byte[] read(Duration timeout)
            throws IOException, TimeoutException, InterruptedException {
        byte[] part = mBody.take(timeout);
        if (part == null) {
            mIoThread.execute(() -> CallerWatch.start(mExchange, this::markGone));
        }
        return part;
    }

    /**
     * Reads the whole body. It counts as held until the request has been handled.
     *
     * @param timeout the longest time for the whole body
     * @param mostBytes the largest body taken
     * @return the body
     * @throws BodyTooLargeException if the body is larger, or larger than this process ever holds
     * @throws NoBodyMemoryException if the bodies of other requests take the memory for too long;
     *     the connection is then closed after the response
     * @throws IOException if the connection breaks
     * @throws TimeoutException if the sender is too slow
     * @throws InterruptedException if the thread is interrupted
     */
    public byte[] readAll(Duration timeout, long mostBytes)
            throws IOException, TimeoutException, InterruptedException {
        long endNanos = System.nanoTime() + timeout.toNanos();
        try {
            return BodyReader.read(
                    () -> read(Duration.ofNanos(endNanos - System.nanoTime())),
                    contentLength(),
                    mostBytes,
                    mLease);
        } catch (NoBodyMemoryException | BodyTooLargeException e) {
            mHasUnreadBody = true;
            throw e;
        }
    }

    /** Returns the memory of the body, which is not used any more. */
    void releaseBody() {
        mLease.close();
    }

    /** Notes that the caller has closed its connection. */
    void markGone() {
        List<Runnable> actions;
        synchronized (mGoneActions) {
            if (mGone) {
                return;
            }
            mGone = true;
            actions = List.copyOf(mGoneActions);
        }
        mBody.fail(new IOException("caller has gone"));
        mResponse.fail(new IOException("caller has gone"));
        actions.forEach(Runnable::run);
    }

    /**
     * Registers what to do when the caller goes; runs at once if it has gone already.
     *
     * @param action the action; it must not block
     */
    public void onGone(Runnable action) {
        synchronized (mGoneActions) {
            if (!mGone) {
                mGoneActions.add(action);
                return;
            }
        }
        action.run();
    }

    /**
     * Tells whether the caller has closed its connection.
     *
     * @return true if it has gone
     */
    public boolean isGone() {
        synchronized (mGoneActions) {
            return mGone;
        }
    }

    /**
     * Names the request in the log.
     *
     * @param requestId its id; null if it has none
     */
    public void identify(String requestId) {
        mResponse.identify(requestId);
    }

    /**
     * Tells whether the head of the answer has been sent.
     *
     * @return true once {@link #start} has been called
     */
    public boolean isStarted() {
        return mResponse.isStarted();
    }

    /**
     * Tells whether the answer was given up.
     *
     * @return true once {@link #abort} has given it up
     */
    boolean isAborted() {
        return mResponse.isAborted();
    }

    /**
     * Begins the answer.
     *
     * @param status the HTTP status
     * @param headers the answer's header fields
     */
    public void start(int status, HeaderMap headers) {
        mResponse.start(status, headers);
    }

    /**
     * Writes a part of the answer's body, an event if it is a stream, and waits for the socket to
     * take it.
     *
     * @param bytes the part
     * @param timeout the longest wait
     * @throws IOException if the caller has gone, or the answer was given up
     * @throws TimeoutException if the caller reads too slowly
     * @throws InterruptedException if the thread is interrupted
     */
    public void write(byte[] bytes, Duration timeout)
            throws IOException, TimeoutException, InterruptedException {
        mResponse.write(bytes, timeout);
    }

    /**
     * Ends the answer.
     *
     * @param timeout the longest wait
     * @throws IOException if the caller has gone, or the answer was given up
     * @throws TimeoutException if the caller reads too slowly
     * @throws InterruptedException if the thread is interrupted
     */
    public void end(Duration timeout) throws IOException, TimeoutException, InterruptedException {
        mResponse.end(timeout);
    }

    /**
     * Sends a whole answer.
     *
     * @param status the HTTP status
     * @param headers the answer's header fields; the length is set here
     * @param body the body
     * @param timeout the longest wait
     * @throws IOException if the caller has gone
     * @throws TimeoutException if the caller reads too slowly
     * @throws InterruptedException if the thread is interrupted
     */
    public void answer(int status, HeaderMap headers, byte[] body, Duration timeout)
            throws IOException, TimeoutException, InterruptedException {
        mResponse.answer(status, headers, body, timeout);
    }

    /**
     * Tells whether the protocol version of the caller knows fields behind the body.
     *
     * @return false if {@link #trailer} has no effect
     */
    public boolean takesTrailers() {
        return mExchange.getProtocol().equals(Protocols.HTTP_1_1);
    }

    /**
     * Sets a field that follows the body of an answer sent in chunks. Must be called before {@link
     * #start}, which announces it.
     *
     * @param name the field's name
     * @param value gives the value when the body has ended
     */
    public void trailer(HttpString name, Supplier<String> value) {
        mResponse.trailer(name, value);
    }

    /**
     * Gives the answer up: ends the connection without ending the answer, so that the caller sees
     * it is cut. What is held of the answer is sent before that. Has no effect on an answer that
     * has ended. Thread-safe.
     *
     * @param cause why it is given up
     * @param detail what is known beside the cause, for the log
     */
    public void abort(AbortCause cause, String detail) {
        mResponse.abort(cause, detail);
    }

    /**
     * Holds what the caller does not read, instead of waiting for it: {@link #write}, {@link #end}
     * and {@link #answer} then return although the caller may still have to be sent some bytes.
     * Must be called before the answer begins.
     *
     * @param opener opens the account of the bytes held
     * @param stallTime after which time a caller that reads nothing is disconnected
     */
    public void holdUnread(UnreadBytes.Opener opener, Duration stallTime) {
        mResponse.holdUnread(opener, stallTime);
    }

    /** Returns a future that completes once the I/O thread has done what it was asked to do. */
    CompletableFuture<Void> turn() {
        return CompletableFuture.runAsync(() -> {}, mIoThread);
    }

    /** Runs an action as soon as nothing of the answer is held; it must not block. */
    void whenDelivered(Runnable action) {
        mResponse.whenDelivered(action);
    }
}
