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
import org.orchidmount.internal.log.PartLog;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSourceChannel;

/**
 * Moves bytes from a channel to a {@link ByteQueue}.
 *
 * <p>Invariant: whatever ends the reading ends the queue, in order only if the body has ended so;
 * the library would log an error and tell nobody.
 *
 * <p>Confined to the I/O thread of the channel: every method must be called there.
 */
final class ChannelPump {
    private static final PartLog LOG = PartLog.of("connections");

    private final StreamSourceChannel mChannel;
    private final ByteBufferPool mPool;
    private final ByteQueue mQueue;
    private final ReceiveLimit mLimit;
    private boolean mIsDiscarding;

    ChannelPump(
            StreamSourceChannel channel, ByteBufferPool pool, ByteQueue queue, ReceiveLimit limit) {
        mLimit = limit;
        mChannel = channel;
        mPool = pool;
        mQueue = queue;
    }

    /** Begins to read; the queue is filled from now on. */
    void start() {
        mChannel.getReadSetter().set(channel -> onReadable());
        onReadable();
    }

    /** Reads on after a pause. */
    void resume() {
        if (mChannel.isOpen() && !mIsDiscarding) {
            onReadable();
        }
    }

    /**
     * Discards the rest, as nobody reads it any more.
     *
     * @param ioThread the thread of the channel
     * @param onEnd run at the end of the body
     * @param onBroken run if there is more than is discarded
     */
    void discard(XnioIoThread ioThread, Runnable onEnd, Runnable onBroken) {
        mIsDiscarding = true;
        InputDiscard discard = new InputDiscard(ioThread, mPool, mChannel::read, onEnd, onBroken);
        mChannel.getReadSetter().set(channel -> discard.onReadable());
        mChannel.resumeReads();
        discard.onReadable();
    }

    private void onReadable() {
        try (PooledByteBuffer pooled = mPool.allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            while (true) {
                buffer.clear();
                int count = mChannel.read(buffer);
                if (count == 0) {
                    mChannel.resumeReads();
                    return;
                }
                if (count < 0) {
                    mChannel.suspendReads();
                    mQueue.end();
                    return;
                }
                mLimit.delivered(count);
                byte[] chunk = new byte[count];
                buffer.flip().get(chunk);
                if (!mQueue.offer(chunk)) {
                    mChannel.suspendReads();
                    return;
                }
            }
        } catch (IOException e) {
            mQueue.fail(e);
        } catch (Throwable e) {
            mQueue.fail(new IOException("reading failed: " + e, e));
            LOG.error("reading from a connection failed", e);
        }
    }
}
