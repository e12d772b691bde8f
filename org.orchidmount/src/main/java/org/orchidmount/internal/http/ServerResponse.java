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
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.orchidmount.internal.log.PartLog;
import org.xnio.IoUtils;
import org.xnio.Options;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;

/**
 * The response to a request that this process serves.
 *
 * <p>Invariants: the exchange is touched on its I/O thread only; the end of the connection is in
 * order only if the framing of the response tells without it that the response has not ended, or if
 * the response is whole; a response ends either by {@link #end} or {@link #answer}, or by {@link
 * #abort}, which is recorded once; an end whose writing fails is none. Used by one thread, except
 * {@link #abort} and {@link #fail}, which are thread-safe.
 */
final class ServerResponse {
    private static final PartLog LOG = PartLog.of("http");

    private static final String NO_REQUEST_ID = "-";
    private static final String CHUNKED = "chunked";
    private static final String GIVEN_UP = "the response was given up";

    /** Which of the two ends of a response has come first. */
    private enum State {
        OPEN,
        /** The whole body has left, and the end follows. */
        ENDED,
        ABORTED
    }

    private final HttpServerExchange mExchange;
    private final XnioIoThread mIoThread;
    private final BooleanSupplier mClosing;
    private final BooleanSupplier mIsGone;
    private final Runnable mMarkGone;
    private final AbortedResponses mAbortedResponses;
    private final Runnable mOnEnded;
    private final AtomicReference<State> mState = new AtomicReference<>(State.OPEN);
    private final AtomicLong mBytes = new AtomicLong();
    private final AtomicLong mParts = new AtomicLong();
    private volatile String mRequestId = NO_REQUEST_ID;
    private volatile ResponseFraming mFraming = ResponseFraming.NONE;
    private volatile ResponseWriter mWriter;
    private volatile UnreadBytes.Opener mUnread;
    private volatile Duration mStallTime;
    private volatile boolean mStarted;

    /** Confined to the I/O thread. */
    private boolean mIsLast;

    /**
     * Creates a response that has not begun.
     *
     * @param exchange the exchange
     * @param closing tells, when the response begins, whether its connection is to be closed after
     *     it
     * @param isGone tells whether the caller has gone
     * @param markGone records that the caller has gone, or is treated so
     * @param aborted records the response if it is given up
     * @param onEnded run on the I/O thread once the end of the response has left
     */
    ServerResponse(
            HttpServerExchange exchange,
            BooleanSupplier closing,
            BooleanSupplier isGone,
            Runnable markGone,
            AbortedResponses aborted,
            Runnable onEnded) {
        mExchange = exchange;
        mIoThread = exchange.getIoThread();
        mClosing = closing;
        mIsGone = isGone;
        mMarkGone = markGone;
        mAbortedResponses = aborted;
        mOnEnded = onEnded;
    }

    void identify(String requestId) {
        mRequestId = requestId == null ? NO_REQUEST_ID : requestId;
    }

    void holdUnread(UnreadBytes.Opener opener, Duration stallTime) {
        mStallTime = stallTime;
        mUnread = opener;
    }

    boolean isAborted() {
        return mState.get() == State.ABORTED;
    }

    /** Tells whether the connection is to be closed behind the response; on the I/O thread. */
    boolean isLast() {
        return mIsLast;
    }

    boolean isStarted() {
        return mStarted;
    }

    void start(int status, HeaderMap headers) {
        mStarted = true;
        mIoThread.execute(
                () -> {
                    if (!mExchange.isComplete() && !isAborted()) {
                        begin(status, headers);
                    }
                });
    }

    void write(byte[] bytes, Duration timeout)
            throws IOException, TimeoutException, InterruptedException {
        writer().write(bytes, timeout);
        mBytes.addAndGet(bytes.length);
        mParts.incrementAndGet();
    }

    void end(Duration timeout) throws IOException, TimeoutException, InterruptedException {
        ResponseWriter writer = writer();
        try {
            writer.end(timeout, mOnEnded);
        } catch (IOException e) {
            reopen();
            throw e;
        }
    }

    /** An end that could not be written is none: the response can still be given up. */
    private void reopen() {
        execute(
                () -> {
                    boolean isEnded = mIsGone.getAsBoolean() || mExchange.isResponseComplete();
                    if (!isEnded
                            && mState.compareAndSet(State.ENDED, State.OPEN)
                            && mFraming == ResponseFraming.CLOSE) {
                        setResetOnClose(true);
                    }
                });
    }

    void answer(int status, HeaderMap headers, byte[] body, Duration timeout)
            throws IOException, TimeoutException, InterruptedException {
        headers.put(Headers.CONTENT_LENGTH, body.length);
        mStarted = true;
        CompletableFuture<Void> done = new CompletableFuture<>();
        try {
            mIoThread.execute(() -> answerOnIoThread(status, headers, body, done));
            ChannelWriter.await(done, timeout);
        } catch (RejectedExecutionException e) {
            throw new IOException("the listener has closed", e);
        } catch (IOException e) {
            reopen();
            throw e;
        }
    }

    private void answerOnIoThread(
            int status, HeaderMap headers, byte[] body, CompletableFuture<Void> done) {
        if (mExchange.isComplete() || mIsGone.getAsBoolean() || isAborted()) {
            done.completeExceptionally(new IOException("caller has gone"));
            return;
        }
        begin(status, headers);
        mWriter.writeAndEnd(body, done, mOnEnded);
    }

    /** Sets the head of the response; on the I/O thread. */
    private void begin(int status, HeaderMap headers) {
        if (mClosing.getAsBoolean()) {
            mExchange.setPersistent(false);
        }
        mExchange.setStatusCode(status);
        mExchange.getResponseHeaders().putAll(headers);
        mFraming = ResponseFraming.of(mExchange);
        if (mFraming != ResponseFraming.LENGTH) {
            mExchange.getResponseHeaders().remove(Headers.CONTENT_LENGTH);
        }
        if (mFraming == ResponseFraming.CHUNKED) {
            mExchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, CHUNKED);
        } else if (mFraming == ResponseFraming.CLOSE) {
            // Whatever ends the process or the connection early then does not end it in order.
            setResetOnClose(true);
        }
        StreamSinkChannel channel = mExchange.getResponseChannel();
        mIsLast = !mExchange.isPersistent();
        // The library closes without reading what the caller still sends, see LingeringClose.
        mExchange.setPersistent(true);
        mWriter =
                mUnread == null
                        ? new ChannelWriter(mIoThread, channel, this::passEnd)
                        : new BufferingWriter(
                                mIoThread,
                                channel,
                                mUnread,
                                mStallTime,
                                this::passEnd,
                                this::disconnect);
    }

    /** All bytes have been handed to the system, so that an orderly end tells the truth. */
    private void passEnd() throws IOException {
        if (!mState.compareAndSet(State.OPEN, State.ENDED)) {
            throw new IOException(GIVEN_UP);
        }
        if (mFraming == ResponseFraming.CLOSE) {
            setResetOnClose(false);
        }
    }

    private void setResetOnClose(boolean isReset) {
        try {
            mExchange.getConnection().setOption(Options.CLOSE_ABORT, isReset);
        } catch (IOException | IllegalArgumentException e) {
            if (mExchange.getConnection().isOpen()) {
                LOG.warn("%s: cannot set how the connection closes: %s", mRequestId, e);
            }
        }
    }

    void trailer(HttpString name, Supplier<String> value) {
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
     * Decided on the I/O thread, where the end is written as well, so that the response is recorded
     * only if its caller does not get it whole.
     */
    void abort(AbortCause cause, String detail) {
        try {
            mIoThread.execute(() -> abortOnIoThread(cause, detail));
        } catch (RejectedExecutionException e) {
            // The listener has closed, and with it the connection.
            record(cause, detail);
        }
    }

    private void abortOnIoThread(AbortCause cause, String detail) {
        if (mState.get() == State.ENDED || mExchange.isResponseComplete()) {
            return;
        }
        if (!mIsGone.getAsBoolean()) {
            record(cause, detail);
        }
        ResponseWriter writer = mWriter;
        if (writer == null) {
            close(cause);
        } else {
            writer.abort(() -> execute(() -> close(cause)));
        }
    }

    /** A slow caller is reset, so that the system does not keep what it has not read. */
    private void close(AbortCause cause) {
        if (cause == AbortCause.CALLER_TOO_SLOW) {
            setResetOnClose(true);
        }
        IoUtils.safeClose(mExchange.getConnection());
    }

    /** A thread that terminates closes its connections itself. */
    private void execute(Runnable task) {
        try {
            mIoThread.execute(task);
        } catch (RejectedExecutionException e) {
            LOG.debug("the listener has closed: %s", e);
        }
    }

    private void record(AbortCause cause, String detail) {
        if (!mState.compareAndSet(State.OPEN, State.ABORTED)) {
            return;
        }
        mAbortedResponses.add(
                new AbortedResponse(
                        mRequestId,
                        mFraming,
                        mBytes.get(),
                        mParts.get(),
                        cause,
                        mFraming == ResponseFraming.CLOSE || cause == AbortCause.CALLER_TOO_SLOW,
                        detail));
    }

    /**
     * Leaves a caller whose response cannot be written any further. It is from now on treated as
     * one that has gone.
     */
    private void disconnect(IOException reason) {
        if (reason instanceof SlowCallerException) {
            record(AbortCause.CALLER_TOO_SLOW, reason.getMessage());
        } else if (reason.getCause() != null && !mIsGone.getAsBoolean()) {
            record(AbortCause.INTERNAL_ERROR, reason.getMessage());
        }
        execute(() -> close(AbortCause.CALLER_TOO_SLOW));
        // Last, as it wakes the request's thread, which then closes the connection as well.
        mMarkGone.run();
    }

    void whenDelivered(Runnable action) {
        ResponseWriter writer = mWriter;
        if (writer == null) {
            action.run();
        } else {
            writer.whenDelivered(action);
        }
    }

    /**
     * Fails a write that is under way, because the caller has gone. The library closes a connection
     * while it writes the end of the last response on it, before the writer learns of that end.
     */
    void fail(IOException error) {
        ResponseWriter writer = mWriter;
        if (writer != null && !mExchange.isResponseComplete()) {
            writer.fail(error);
        }
    }

    /** Waits for the I/O thread to have made the writer. */
    private ResponseWriter writer() throws IOException, TimeoutException, InterruptedException {
        if (mWriter == null) {
            CompletableFuture<Void> turn = new CompletableFuture<>();
            mIoThread.execute(() -> turn.complete(null));
            turn.join();
        }
        if (isAborted()) {
            throw new IOException(GIVEN_UP);
        }
        if (mWriter == null || mIsGone.getAsBoolean()) {
            throw new IOException("caller has gone");
        }
        return mWriter;
    }
}
