/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * Reads and discards what a caller sends that nobody reads: closing a socket with unread bytes
 * resets it, and a reset discards what the caller has not read of its response.
 *
 * <p>Invariant: ends once, in order at the end of the input, or by its bounds or an error. Confined
 * to the I/O thread of the connection.
 */
final class InputDiscard {
    /** More than the largest body that a caller would usually have on its way. */
    static final long MAX_BYTES = 16L * 1024 * 1024;

    static final long MAX_MILLIS = 10_000;

    /** How long a caller may send nothing; it is closed within twice this time. */
    static final long MAX_SILENT_MILLIS = 2_000;

    /** Where the bytes come from. */
    @FunctionalInterface
    interface Input {
        /** Reads into a buffer; returns the count, 0 if there is nothing now, -1 at the end. */
        int read(ByteBuffer buffer) throws IOException;
    }

    private final XnioIoThread mIoThread;
    private final ByteBufferPool mPool;
    private final Input mInput;
    private final Runnable mOnEnd;
    private final Runnable mOnBroken;
    private XnioExecutor.Key mCheck;
    private long mBytes;
    private long mCheckedBytes;
    private int mChecks;
    private boolean mHasEnded;

    /**
     * Begins; the caller of this sees to it that {@link #onReadable} is called.
     *
     * @param ioThread the thread of the connection
     * @param pool gives the buffer
     * @param input where the bytes come from
     * @param onEnd run at the orderly end of the input
     * @param onBroken run if a bound is exceeded or the input fails
     */
    InputDiscard(
            XnioIoThread ioThread,
            ByteBufferPool pool,
            Input input,
            Runnable onEnd,
            Runnable onBroken) {
        mIoThread = ioThread;
        mPool = pool;
        mInput = input;
        mOnEnd = onEnd;
        mOnBroken = onBroken;
        scheduleCheck();
    }

    /** Discards what there is. */
    void onReadable() {
        if (mHasEnded) {
            return;
        }
        try (PooledByteBuffer pooled = mPool.allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            for (int count = mInput.read(buffer); count != 0; count = mInput.read(buffer)) {
                if (count < 0) {
                    end(mOnEnd);
                    return;
                }
                mBytes += count;
                if (mBytes > MAX_BYTES) {
                    end(mOnBroken);
                    return;
                }
                buffer.clear();
            }
        } catch (IOException e) {
            end(mOnBroken);
        }
    }

    private void scheduleCheck() {
        mCheck = mIoThread.executeAfter(this::check, MAX_SILENT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void check() {
        mChecks++;
        if (mBytes == mCheckedBytes || mChecks * MAX_SILENT_MILLIS >= MAX_MILLIS) {
            end(mOnBroken);
            return;
        }
        mCheckedBytes = mBytes;
        scheduleCheck();
    }

    private void end(Runnable action) {
        if (!mHasEnded) {
            mHasEnded = true;
            mCheck.remove();
            action.run();
        }
    }
}
