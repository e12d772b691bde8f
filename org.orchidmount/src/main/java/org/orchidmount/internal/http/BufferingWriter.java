/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.Lock;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;

/**
 * Writes to the socket directly while it takes bytes, and holds what it does not take, so that the
 * sender of a response does not wait for its reader.
 *
 * <p>Invariants: bytes leave in the order in which they were written; only bytes that an {@link
 * UnreadBytes} has accepted are held, and each is taken back once it has left or been discarded;
 * the end of the body is written only after all bytes have left; a caller whose socket takes
 * nothing for the stall time while bytes are held is disconnected. The channel is touched on its
 * I/O thread only. A part counts in full until all of it has left, because its array is held until
 * then.
 *
 * <p>The lock guards the parts and the state; it is a leaf, and nothing blocks or calls out under
 * it. Used by one thread at a time, except {@link #fail} and the disconnect action, which are
 * thread-safe.
 */
final class BufferingWriter implements ResponseWriter {
    /** Bytes handed to the socket at a time: as many as a socket holds for its peer. */
    private static final int MAX_PART_BYTES = 64 * 1024;

    /** Memory of a held part beside its bytes: headers of the array and of its buffer. */
    static final int PART_OVERHEAD_BYTES = 64;

    /**
     * Checks without progress until a caller is disconnected. Each check also tries a write,
     * because a socket is reported as writable only when a third of its buffer is free.
     */
    private static final int STALLED_CHECKS = 3;

    private final XnioIoThread mIoThread;
    private final StreamSinkChannel mChannel;
    private final UnreadBytes mUnread;
    private final EndGate mEndGate;
    private final Consumer<IOException> mDisconnect;
    private final long mCheckMillis;
    private volatile CompletableFuture<Void> mPending;

    private final Lock mLock = new ReentrantLock();
    private final Deque<ByteBuffer> mParts = new ArrayDeque<>();
    private final List<Runnable> mDeliveredActions = new ArrayList<>();

    /** Whether the I/O thread has to write before anything else may be written. */
    private boolean mIsBehind;

    private boolean mIsEnding;
    private boolean mIsAborting;
    private boolean mHasEnded;
    private Runnable mOnEnded;
    private IOException mError;

    // Confined to the I/O thread.
    private boolean mIsShutDown;
    private long mWrittenBytes;
    private long mCheckedBytes;
    private int mIdleChecks;
    private XnioExecutor.Key mCheck;

    /**
     * Creates a writer; must be called on the I/O thread.
     *
     * @param ioThread the thread of the channel
     * @param channel the body of the response
     * @param opener opens the account of what is held
     * @param stallTime how long a caller may read nothing while bytes are held
     * @param endGate asked before the end is written
     * @param disconnect closes the connection in a way that the caller cannot take for the end; is
     *     given the reason, a {@link SlowCallerException} or the failure of a write; must not
     *     block, and may be called on any thread and more than once
     */
    BufferingWriter(
            XnioIoThread ioThread,
            StreamSinkChannel channel,
            UnreadBytes.Opener opener,
            Duration stallTime,
            EndGate endGate,
            Consumer<IOException> disconnect) {
        mIoThread = ioThread;
        mChannel = channel;
        mEndGate = endGate;
        mDisconnect = disconnect;
        mCheckMillis = Math.max(1, stallTime.toMillis() / STALLED_CHECKS);
        mUnread = opener.open(this::disconnect);
    }

    @Override
    public void write(byte[] bytes, Duration timeout)
            throws IOException, TimeoutException, InterruptedException {
        ByteBuffer part = ByteBuffer.wrap(bytes);
        if (isBehind()) {
            hold(part);
            return;
        }
        await(() -> writeDirectly(part), timeout);
    }

    @Override
    public void end(Duration timeout, Runnable onEnded)
            throws IOException, TimeoutException, InterruptedException {
        if (!beginEnd(onEnded, false)) {
            await(this::drain, timeout);
        }
    }

    @Override
    public void writeAndEnd(byte[] bytes, CompletableFuture<Void> done, Runnable onEnded) {
        mPending = done;
        ByteBuffer body = ByteBuffer.wrap(bytes);
        try {
            beginEnd(onEnded, false);
            if (!writeAll(body)) {
                enqueue(body, true);
            }
            drain();
            done.complete(null);
        } catch (IOException e) {
            done.completeExceptionally(e);
            breakOff(e);
        }
    }

    /** What is held is written first, so that the caller has all that was sent to it. */
    @Override
    public void abort(Runnable close) {
        try {
            if (beginEnd(close, true)) {
                return;
            }
        } catch (IOException e) {
            // Nothing is written any more.
        }
        close.run();
    }

    @Override
    public void fail(IOException error) {
        List<Runnable> actions;
        mLock.lock();
        try {
            if (mHasEnded || mError != null) {
                return;
            }
            mError = error;
            mParts.clear();
            actions = takeDeliveredActions();
        } finally {
            mLock.unlock();
        }
        mUnread.close();
        CompletableFuture<Void> pending = mPending;
        if (pending != null) {
            pending.completeExceptionally(error);
        }
        actions.forEach(Runnable::run);
    }

    @Override
    public void whenDelivered(Runnable action) {
        mLock.lock();
        try {
            if (mIsBehind && mError == null) {
                mDeliveredActions.add(action);
                return;
            }
        } finally {
            mLock.unlock();
        }
        action.run();
    }

    private void disconnect() {
        breakOff(new SlowCallerException());
    }

    /** The caller counts as gone before a write fails, so that the failure is not logged as one. */
    private void breakOff(IOException error) {
        if (hasEnded()) {
            return;
        }
        mDisconnect.accept(error);
        fail(error);
    }

    private boolean hasEnded() {
        mLock.lock();
        try {
            return mHasEnded;
        } finally {
            mLock.unlock();
        }
    }

    /** The library would log what is thrown on its thread, and tell nobody. */
    private void breakOffByFault(Throwable fault) {
        cancelCheck();
        breakOff(new IOException("writing failed: " + fault, fault));
    }

    private boolean isBehind() throws IOException {
        mLock.lock();
        try {
            throwError();
            return mIsBehind;
        } finally {
            mLock.unlock();
        }
    }

    private void throwError() throws IOException {
        if (mError != null) {
            throw new IOException(mError.getMessage(), mError);
        }
    }

    /** Leaves the end to the I/O thread; returns whether it is writing what precedes the end. */
    private boolean beginEnd(Runnable onEnded, boolean isAborting) throws IOException {
        mLock.lock();
        try {
            throwError();
            if (isAborting && !mIsBehind) {
                return false;
            }
            boolean wasBehind = mIsBehind;
            mIsBehind = true;
            mIsEnding = true;
            mIsAborting = isAborting;
            mOnEnded = onEnded;
            return wasBehind;
        } finally {
            mLock.unlock();
        }
    }

    /** Holds a part behind others, and wakes the I/O thread if it has written them meanwhile. */
    private void hold(ByteBuffer part) throws IOException {
        if (!enqueue(part, false)) {
            mIoThread.execute(this::drain);
        }
    }

    /** Holds a part; returns whether the I/O thread was behind already. */
    private boolean enqueue(ByteBuffer part, boolean isComplete) throws IOException {
        if (!mUnread.add(heldBytes(part), isComplete)) {
            IOException error = new SlowCallerException();
            breakOff(error);
            throw error;
        }
        mLock.lock();
        try {
            throwError();
            mParts.addLast(part);
            boolean wasBehind = mIsBehind;
            mIsBehind = true;
            return wasBehind;
        } finally {
            mLock.unlock();
        }
    }

    private static int heldBytes(ByteBuffer part) {
        return part.capacity() + PART_OVERHEAD_BYTES;
    }

    /** Runs an operation on the I/O thread, which does not wait for the caller. */
    private void await(Runnable operation, Duration timeout)
            throws IOException, TimeoutException, InterruptedException {
        CompletableFuture<Void> done = new CompletableFuture<>();
        mPending = done;
        mIoThread.execute(
                () -> {
                    operation.run();
                    done.complete(null);
                });
        ChannelWriter.await(done, timeout);
    }

    private void writeDirectly(ByteBuffer part) {
        try {
            if (isBehind() || !writeAll(part)) {
                enqueue(part, false);
                drain();
            } else if (!mChannel.flush()) {
                markBehind();
                awaitWritable();
            }
        } catch (IOException e) {
            breakOff(e);
        } catch (Throwable e) {
            breakOffByFault(e);
        }
    }

    private void markBehind() {
        mLock.lock();
        try {
            mIsBehind = true;
        } finally {
            mLock.unlock();
        }
    }

    /** Writes what the socket takes; returns whether that was all. */
    private boolean writeAll(ByteBuffer part) throws IOException {
        while (part.hasRemaining()) {
            int length = Math.min(MAX_PART_BYTES, part.remaining());
            int written = mChannel.write(part.slice(part.position(), length));
            if (written == 0) {
                return false;
            }
            part.position(part.position() + written);
            mWrittenBytes += written;
        }
        return true;
    }

    /** Writes what is held, and then the end if it is due; on the I/O thread. */
    private void drain() {
        try {
            while (isBehind()) {
                if (!writeParts() || !mChannel.flush()) {
                    awaitWritable();
                    return;
                }
                if (!isEndDue()) {
                    catchUp();
                } else if (!mIsShutDown && !mIsAborting) {
                    mIsShutDown = true;
                    mEndGate.pass();
                    mChannel.shutdownWrites();
                } else {
                    finish();
                    return;
                }
            }
        } catch (IOException e) {
            cancelCheck();
            breakOff(e);
        } catch (Throwable e) {
            breakOffByFault(e);
        }
    }

    private boolean writeParts() throws IOException {
        for (ByteBuffer part = firstPart(); part != null; part = firstPart()) {
            if (!writeAll(part)) {
                return false;
            }
            if (removePart(part)) {
                mUnread.remove(heldBytes(part));
            }
        }
        return true;
    }

    private ByteBuffer firstPart() {
        mLock.lock();
        try {
            return mParts.peekFirst();
        } finally {
            mLock.unlock();
        }
    }

    /** Removes the first part; returns false if it has been discarded meanwhile. */
    private boolean removePart(ByteBuffer part) {
        mLock.lock();
        try {
            if (mParts.peekFirst() != part) {
                return false;
            }
            mParts.removeFirst();
            return true;
        } finally {
            mLock.unlock();
        }
    }

    private boolean isEndDue() {
        mLock.lock();
        try {
            return mIsEnding && mParts.isEmpty();
        } finally {
            mLock.unlock();
        }
    }

    /** From now on the sender writes directly, unless it has held another part meanwhile. */
    private void catchUp() {
        List<Runnable> actions;
        mLock.lock();
        try {
            if (mIsEnding || !mParts.isEmpty()) {
                return;
            }
            mIsBehind = false;
            actions = takeDeliveredActions();
        } finally {
            mLock.unlock();
        }
        mChannel.suspendWrites();
        cancelCheck();
        actions.forEach(Runnable::run);
    }

    private void finish() {
        List<Runnable> actions;
        mLock.lock();
        try {
            if (mError != null) {
                return;
            }
            mHasEnded = true;
            mIsBehind = false;
            actions = takeDeliveredActions();
        } finally {
            mLock.unlock();
        }
        mChannel.suspendWrites();
        cancelCheck();
        mUnread.close();
        mOnEnded.run();
        actions.forEach(Runnable::run);
    }

    private List<Runnable> takeDeliveredActions() {
        List<Runnable> actions = List.copyOf(mDeliveredActions);
        mDeliveredActions.clear();
        return actions;
    }

    private void awaitWritable() {
        mChannel.getWriteSetter().set(channel -> drain());
        mChannel.resumeWrites();
        if (mCheck == null) {
            mCheck = mIoThread.executeAfter(this::check, mCheckMillis, TimeUnit.MILLISECONDS);
        }
    }

    private void cancelCheck() {
        mIdleChecks = 0;
        if (mCheck != null) {
            mCheck.remove();
            mCheck = null;
        }
    }

    /** Disconnects the caller if its socket has taken nothing at the last checks. */
    private void check() {
        mCheck = null;
        drain();
        if (mCheck == null) {
            return;
        }
        mIdleChecks = mWrittenBytes == mCheckedBytes ? mIdleChecks + 1 : 0;
        mCheckedBytes = mWrittenBytes;
        if (mIdleChecks >= STALLED_CHECKS) {
            cancelCheck();
            mUnread.stalled();
            disconnect();
        }
    }
}
