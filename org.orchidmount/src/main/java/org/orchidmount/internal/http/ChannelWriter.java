/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;

/**
 * Writes to a channel from a virtual thread: each write waits until the bytes have left for the
 * socket, so a slow peer slows the writer down.
 *
 * <p>Invariants: the channel is touched on its I/O thread only, and at most one write is under way;
 * whatever fails there ends the write, because the library would log an error and tell nobody. Used
 * by one thread at a time.
 */
final class ChannelWriter implements ResponseWriter {
    /** Bytes handed to the socket at a time: as many as a socket holds for its peer. */
    private static final int MAX_PART_BYTES = 64 * 1024;

    private final XnioIoThread mIoThread;
    private final StreamSinkChannel mChannel;
    private final EndGate mEndGate;
    private volatile CompletableFuture<Void> mPending;

    ChannelWriter(XnioIoThread ioThread, StreamSinkChannel channel) {
        this(ioThread, channel, () -> {});
    }

    /**
     * Creates a writer.
     *
     * @param ioThread the thread of the channel
     * @param channel the body
     * @param endGate asked before the end is written
     */
    ChannelWriter(XnioIoThread ioThread, StreamSinkChannel channel, EndGate endGate) {
        mIoThread = ioThread;
        mChannel = channel;
        mEndGate = endGate;
    }

    /** Writes all bytes and waits for the socket to take them. */
    @Override
    public void write(byte[] bytes, Duration timeout)
            throws IOException, TimeoutException, InterruptedException {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        await(done -> step(buffer, done), timeout);
    }

    /** Ends the stream and waits for the last bytes to leave. */
    void end(Duration timeout) throws IOException, TimeoutException, InterruptedException {
        await(this::shutDown, timeout);
    }

    @Override
    public void end(Duration timeout, Runnable onEnded)
            throws IOException, TimeoutException, InterruptedException {
        end(timeout);
        mIoThread.execute(onEnded);
    }

    /** Completes the future when the last byte has left. */
    @Override
    public void writeAndEnd(byte[] bytes, CompletableFuture<Void> done, Runnable onEnded) {
        done.thenRun(() -> mIoThread.execute(onEnded));
        mPending = done;
        CompletableFuture<Void> written = new CompletableFuture<>();
        written.whenComplete(
                (nothing, error) -> {
                    if (error == null) {
                        shutDown(done);
                    } else {
                        done.completeExceptionally(error);
                    }
                });
        step(ByteBuffer.wrap(bytes), written);
    }

    private void shutDown(CompletableFuture<Void> done) {
        try {
            mEndGate.pass();
            mChannel.shutdownWrites();
            flush(done);
        } catch (Throwable e) {
            done.completeExceptionally(e);
        }
    }

    @Override
    public void abort(Runnable close) {
        close.run();
    }

    /** Nothing is left to be written when a write has returned. */
    @Override
    public void whenDelivered(Runnable action) {
        action.run();
    }

    @Override
    public void fail(IOException error) {
        CompletableFuture<Void> pending = mPending;
        if (pending != null) {
            pending.completeExceptionally(error);
        }
    }

    private void await(Operation operation, Duration timeout)
            throws IOException, TimeoutException, InterruptedException {
        CompletableFuture<Void> done = new CompletableFuture<>();
        mPending = done;
        mIoThread.execute(() -> operation.run(done));
        await(done, timeout);
    }

    /** Waits for an operation that was begun. */
    static void await(CompletableFuture<Void> done, Duration timeout)
            throws IOException, TimeoutException, InterruptedException {
        try {
            done.get(timeout.toNanos(), TimeUnit.NANOSECONDS);
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().getMessage(), e.getCause());
        }
    }

    private void step(ByteBuffer buffer, CompletableFuture<Void> done) {
        try {
            while (buffer.hasRemaining()) {
                if (done.isDone()) {
                    return;
                }
                if (writePart(buffer) == 0) {
                    mChannel.getWriteSetter().set(channel -> step(buffer, done));
                    mChannel.resumeWrites();
                    return;
                }
            }
            flush(done);
        } catch (Throwable e) {
            done.completeExceptionally(e);
        }
    }

    /** Writes in parts, so that a write that has failed ends soon although the peer reads on. */
    private int writePart(ByteBuffer buffer) throws IOException {
        int length = Math.min(MAX_PART_BYTES, buffer.remaining());
        int written = mChannel.write(buffer.slice(buffer.position(), length));
        buffer.position(buffer.position() + written);
        return written;
    }

    private void flush(CompletableFuture<Void> done) {
        try {
            if (mChannel.flush()) {
                mChannel.suspendWrites();
                done.complete(null);
                return;
            }
            mChannel.getWriteSetter().set(channel -> flush(done));
            mChannel.resumeWrites();
        } catch (Throwable e) {
            done.completeExceptionally(e);
        }
    }

    @FunctionalInterface
    private interface Operation {
        void run(CompletableFuture<Void> done);
    }
}
