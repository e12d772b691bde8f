/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpAttachments;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Protocols;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.orchidmount.internal.log.PartLog;
import org.xnio.IoUtils;
import org.xnio.Options;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * A request that this process serves, seen from a virtual thread.
 *
 * <p>Invariants: the exchange is touched on its I/O thread only once {@link #startReading} has been
 * called; a caller that closes its connection is noticed at any time after its request has been
 * read, even while nothing is being written to it. Used by one thread, except {@link #onGone} and
 * {@link #isGone}, which are thread-safe.
 */
public final class ServerExchange {
    private static final PartLog LOG = PartLog.of("http");

    private final HttpServerExchange mExchange;
    private final BooleanSupplier mClosing;
    private final XnioIoThread mIoThread;
    private final ByteQueue mBody = new ByteQueue(this::resumeReading);
    private final List<Runnable> mGoneActions = new ArrayList<>();
    private volatile ChannelPump mPump;
    private volatile ResponseWriter mWriter;
    private volatile UnreadBytes.Opener mUnread;
    private volatile Duration mStallTime;
    private boolean mGone;
    private volatile boolean mStarted;

    /**
     * Wraps an exchange on its I/O thread, before it is dispatched.
     *
     * @param exchange the exchange
     * @param closing tells, when the answer begins, whether its connection is to be closed after it
     */
    public ServerExchange(HttpServerExchange exchange, BooleanSupplier closing) {
        mClosing = closing;
        mExchange = exchange;
        mIoThread = exchange.getIoThread();
        CurrentExchange.of(exchange.getConnection()).set(this);
    }

    /** Begins to read the body and then to watch the caller. Must run first. */
    public void startReading() {
        mIoThread.execute(
                () -> {
                    StreamSourceChannel channel = mExchange.getRequestChannel();
                    mPump =
                            new ChannelPump(
                                    channel, mExchange.getConnection().getByteBufferPool(), mBody);
                    mPump.start();
                });
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
     * Reads the whole body.
     *
     * @param timeout the longest time for the whole body
     * @param mostBytes the largest body taken
     * @return the body
     * @throws BodyTooLargeException if the body is larger
     * @throws IOException if the connection breaks
     * @throws TimeoutException if the sender is too slow
     * @throws InterruptedException if the thread is interrupted
     */
    public byte[] readAll(Duration timeout, long mostBytes)
            throws IOException, TimeoutException, InterruptedException {
        long endNanos = System.nanoTime() + timeout.toNanos();
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            byte[] part = read(Duration.ofNanos(endNanos - System.nanoTime()));
            if (part == null) {
                return body.toByteArray();
            }
            if (body.size() + part.length > mostBytes) {
                throw new BodyTooLargeException(mostBytes);
            }
            body.writeBytes(part);
        }
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
        ResponseWriter writer = mWriter;
        if (writer != null) {
            writer.fail(new IOException("caller has gone"));
        }
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
     * Tells whether the head of the answer has been sent.
     *
     * @return true once {@link #start} has been called
     */
    public boolean isStarted() {
        return mStarted;
    }

    /**
     * Begins the answer.
     *
     * @param status the HTTP status
     * @param headers the answer's header fields
     */
    public void start(int status, HeaderMap headers) {
        mStarted = true;
        mIoThread.execute(
                () -> {
                    if (!mExchange.isComplete()) {
                        begin(status, headers);
                    }
                });
    }

    /**
     * Writes a part of the answer's body and waits for the socket to take it.
     *
     * @param bytes the part
     * @param timeout the longest wait
     * @throws IOException if the caller has gone
     * @throws TimeoutException if the caller reads too slowly
     * @throws InterruptedException if the thread is interrupted
     */
    public void write(byte[] bytes, Duration timeout)
            throws IOException, TimeoutException, InterruptedException {
        writer().write(bytes, timeout);
    }

    /**
     * Ends the answer.
     *
     * @param timeout the longest wait
     * @throws IOException if the caller has gone
     * @throws TimeoutException if the caller reads too slowly
     * @throws InterruptedException if the thread is interrupted
     */
    public void end(Duration timeout) throws IOException, TimeoutException, InterruptedException {
        writer().end(timeout, mExchange::endExchange);
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
        headers.put(Headers.CONTENT_LENGTH, body.length);
        mStarted = true;
        CompletableFuture<Void> done = new CompletableFuture<>();
        mIoThread.execute(
                () -> {
                    if (mExchange.isComplete() || isGone()) {
                        done.completeExceptionally(new IOException("caller has gone"));
                        return;
                    }
                    begin(status, headers);
                    mWriter.writeAndEnd(body, done, mExchange::endExchange);
                });
        ChannelWriter.await(done, timeout);
    }

    /** Sets the head of the answer; on the I/O thread. */
    private void begin(int status, HeaderMap headers) {
        if (mClosing.getAsBoolean()) {
            mExchange.setPersistent(false);
        }
        mExchange.setStatusCode(status);
        mExchange.getResponseHeaders().putAll(headers);
        StreamSinkChannel channel = mExchange.getResponseChannel();
        mWriter =
                mUnread == null
                        ? new ChannelWriter(mIoThread, channel)
                        : new BufferingWriter(mIoThread, channel, mUnread, mStallTime, this::reset);
    }

    /**
     * Sets a field that follows the body of an answer sent in chunks. Must be called before {@link
     * #start}, which announces it.
     *
     * @param name the field's name
     * @param value gives the value when the body has ended
     */
    public void trailer(HttpString name, Supplier<String> value) {
        mIoThread.execute(
                () -> {
                    if (!mExchange.getProtocol().equals(Protocols.HTTP_1_1)) {
                        return;
                    }
                    mExchange.getResponseHeaders().put(Headers.TRAILER, name.toString());
                    mExchange.putAttachment(
                            HttpAttachments.RESPONSE_TRAILER_SUPPLIER,
                            () -> new HeaderMap().put(name, value.get()));
                });
    }

    /**
     * Closes the connection without ending the answer, so that the caller sees it is cut. What is
     * held of the answer is sent before that.
     */
    public void abort() {
        Runnable close =
                () -> mIoThread.execute(() -> IoUtils.safeClose(mExchange.getConnection()));
        ResponseWriter writer = mWriter;
        if (writer == null) {
            close.run();
        } else {
            writer.abort(close);
        }
    }

    /**
     * Leaves the caller, which is from now on treated as one that has gone. The connection is
     * reset, because an orderly end would make an answer without length look complete.
     */
    private void reset() {
        markGone();
        mIoThread.execute(
                () -> {
                    try {
                        mExchange.getConnection().setOption(Options.CLOSE_ABORT, true);
                    } catch (IOException | IllegalArgumentException e) {
                        LOG.debug("a connection cannot be reset: %s", e);
                    }
                    IoUtils.safeClose(mExchange.getConnection());
                });
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
        mStallTime = stallTime;
        mUnread = opener;
    }

    /** Runs an action as soon as nothing of the answer is held; it must not block. */
    void whenDelivered(Runnable action) {
        ResponseWriter writer = mWriter;
        if (writer == null) {
            action.run();
        } else {
            writer.whenDelivered(action);
        }
    }

    /** Waits for the I/O thread to have made the writer. */
    private ResponseWriter writer() throws IOException, TimeoutException, InterruptedException {
        if (mWriter == null) {
            CompletableFuture<Void> turn = new CompletableFuture<>();
            mIoThread.execute(() -> turn.complete(null));
            turn.join();
        }
        if (mWriter == null || isGone()) {
            throw new IOException("caller has gone");
        }
        return mWriter;
    }
}
