/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.time.Duration;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.orchidmount.cluster.ClusterMessage.KeepAlive;
import org.orchidmount.internal.log.PartLog;

/**
 * A connection to another instance that carries messages both ways.
 *
 * <p>Frames are a length of four bytes and a message. A link on which nothing arrives for {@link
 * #SILENCE} is closed, so one that is cut in silence is found. Sending never blocks: a peer that
 * does not read loses the link. A frame that cannot be read is dropped alone, because its link
 * would only be made anew and carry the same again; but a link begins with one that can.
 * Thread-safe.
 */
final class Link implements AutoCloseable {
    /** The longest pause of a sender; a third of the silence that ends a link. */
    static final Duration KEEP_ALIVE = Duration.ofMillis(400);

    /** The longest silence of a peer, after which the link ends. */
    static final Duration SILENCE = Duration.ofMillis(1_500);

    private static final PartLog LOG = PartLog.of("link");

    /** The largest frame: a table document and its envelope. */
    private static final int MAX_FRAME_BYTES = 16 * 1024 * 1024;

    /** The longest foreign text in a line. */
    private static final int MAX_LOGGED_CHARACTERS = 300;

    /** Messages queued for a peer that reads too slowly, until the link ends. */
    private static final int MAX_QUEUED = 512;

    private static final Frame KEEP_ALIVE_FRAME = new Frame(new KeepAlive());

    private final Socket mSocket;
    private final Handler mHandler;
    private final BlockingQueue<Frame> mQueue = new ArrayBlockingQueue<>(MAX_QUEUED);
    private final AtomicBoolean mClosed = new AtomicBoolean();

    /** What could not be read or used; confined to the reader thread, as is the next. */
    private long mRefusals;

    private boolean mHasBegun;

    /** Takes what arrives; called on the link's reader thread. */
    interface Handler {
        /** Takes a message. */
        void received(Link link, ClusterMessage message);

        /** Learns that the link has closed. */
        void closed(Link link);
    }

    Link(Socket socket, Handler handler) throws SocketException {
        mSocket = socket;
        mHandler = handler;
        socket.setTcpNoDelay(true);
        socket.setSoTimeout((int) SILENCE.toMillis());
    }

    /** Carries messages until the link closes. */
    void run() {
        Thread.ofVirtual().name("link-writer").start(this::writeAll);
        try (DataInputStream in =
                new DataInputStream(new BufferedInputStream(mSocket.getInputStream()))) {
            while (!mClosed.get()) {
                receive(readFrame(in));
            }
        } catch (IOException e) {
            logEnd("cannot be read", e);
        } finally {
            close();
            mHandler.closed(this);
        }
    }

    private static byte[] readFrame(DataInputStream in) throws IOException {
        int length = in.readInt();
        if (length <= 0 || length > MAX_FRAME_BYTES) {
            throw new IOException("a frame of " + length + " bytes");
        }
        byte[] frame = in.readNBytes(length);
        if (frame.length < length) {
            throw new IOException("a frame was cut off");
        }
        return frame;
    }

    private void receive(byte[] frame) throws IOException {
        ClusterMessage message;
        try {
            message = ClusterCodec.decode(frame, this::refused);
        } catch (IOException e) {
            if (!mHasBegun) {
                throw e;
            }
            refused(e.getMessage());
            return;
        }
        mHasBegun = true;
        mHandler.received(this, message);
    }

    /** Logs the first refusal, the second, the fourth and so on, so that lines stay few. */
    private void refused(String what) {
        mRefusals++;
        if (Long.bitCount(mRefusals) == 1) {
            LOG.warn("from %s, %d refused so far: %s", peer(), mRefusals, printable(what));
        }
    }

    /** Returns what holds foreign text as one line may: short, and in ASCII. */
    private static String printable(String text) {
        int length = Math.min(text.length(), MAX_LOGGED_CHARACTERS);
        return text.substring(0, length).replaceAll("[^ -~]", "?");
    }

    private void writeAll() {
        try (DataOutputStream out = new DataOutputStream(mSocket.getOutputStream())) {
            while (!mClosed.get()) {
                Frame frame = mQueue.poll(KEEP_ALIVE.toMillis(), TimeUnit.MILLISECONDS);
                out.write((frame == null ? KEEP_ALIVE_FRAME : frame).bytes());
            }
        } catch (IOException e) {
            logEnd("cannot be written", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            close();
        }
    }

    /** Queues a message; closes the link if the peer reads too slowly. */
    void send(ClusterMessage message) {
        send(new Frame(message));
    }

    /** Queues a message that may go over other links too. */
    void send(Frame frame) {
        if (!mQueue.offer(frame)) {
            LOG.info("link with %s ends: %d messages wait", peer(), MAX_QUEUED);
            close();
        }
    }

    /** Logs why the link ends, unless it was closed here; whoever needs it connects again. */
    private void logEnd(String what, IOException e) {
        if (isOpen()) {
            LOG.info("link with %s ends: %s: %s", peer(), what, e);
        }
    }

    private String peer() {
        return String.valueOf(mSocket.getRemoteSocketAddress());
    }

    boolean isOpen() {
        return !mClosed.get();
    }

    @Override
    public void close() {
        if (mClosed.getAndSet(true)) {
            return;
        }
        try {
            mSocket.close();
        } catch (IOException e) {
            LOG.debug("the socket of %s cannot be closed: %s", peer(), e);
        }
    }
}
