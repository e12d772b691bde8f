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
 * A TCP connection to another instance that carries messages in both directions.
 *
 * <p>A frame is a length of four bytes and an encoded message. A link that receives nothing for
 * {@link #READ_TIMEOUT} is closed, which detects connections that were cut without notice. Sending
 * never blocks: the link is closed if the peer reads too slowly. A frame that cannot be decoded is
 * dropped without closing the link, since the peer would only reconnect and send the same frame
 * again; but the first frame of a link must be decodable. Thread-safe.
 */
final class Link implements AutoCloseable {
    /** Maximum time between two frames of a sender; less than a third of {@link #READ_TIMEOUT}. */
    static final Duration KEEP_ALIVE_INTERVAL = Duration.ofMillis(400);

    /** Time without a frame from the peer after which the link is closed. */
    static final Duration READ_TIMEOUT = Duration.ofMillis(1_500);

    private static final PartLog LOG = PartLog.of("link");

    /** Largest frame accepted: a table document and its envelope. */
    private static final int MAX_FRAME_BYTES = 16 * 1024 * 1024;

    /** Maximum length of text from a peer in a log line. */
    private static final int MAX_LOGGED_PEER_TEXT = 300;

    /** Number of messages queued for a slow peer at which the link is closed. */
    private static final int MAX_QUEUED_MESSAGES = 512;

    private static final Frame KEEP_ALIVE_FRAME = new Frame(new KeepAlive());

    private final Socket mSocket;
    private final Handler mHandler;
    private final BlockingQueue<Frame> mQueue = new ArrayBlockingQueue<>(MAX_QUEUED_MESSAGES);
    private final AtomicBoolean mClosed = new AtomicBoolean();

    /**
     * Number of frames and list elements rejected so far; confined to the reader thread, as is the
     * next field.
     */
    private long mRejections;

    private boolean mHasReceived;

    /** Receives the events of a link; called on the link's reader thread. */
    interface Handler {
        /** Handles a message from the peer. */
        void received(Link link, ClusterMessage message);

        /** Handles the end of the link. */
        void closed(Link link);
    }

    Link(Socket socket, Handler handler) throws SocketException {
        mSocket = socket;
        mHandler = handler;
        socket.setTcpNoDelay(true);
        socket.setSoTimeout((int) READ_TIMEOUT.toMillis());
    }

    /** Reads messages until the link closes. */
    void run() {
        Thread.ofVirtual().name("link-writer").start(this::writeAll);
        try (DataInputStream in =
                new DataInputStream(new BufferedInputStream(mSocket.getInputStream()))) {
            while (!mClosed.get()) {
                receive(readFrame(in));
            }
        } catch (IOException e) {
            logEnd("read failed", e);
        } finally {
            close();
            mHandler.closed(this);
        }
    }

    private static byte[] readFrame(DataInputStream in) throws IOException {
        int length = in.readInt();
        if (length <= 0 || length > MAX_FRAME_BYTES) {
            throw new IOException("invalid frame length of " + length + " bytes");
        }
        byte[] frame = in.readNBytes(length);
        if (frame.length < length) {
            throw new IOException("connection closed in the middle of a frame");
        }
        return frame;
    }

    private void receive(byte[] frame) throws IOException {
        ClusterMessage message;
        try {
            message = ClusterCodec.decode(frame, this::logRejection);
        } catch (IOException e) {
            if (!mHasReceived) {
                throw e;
            }
            logRejection(e.getMessage());
            return;
        }
        mHasReceived = true;
        mHandler.received(this, message);
    }

    /** Logs the first, second, fourth, eighth and so on rejection, to bound the log volume. */
    private void logRejection(String what) {
        mRejections++;
        if (Long.bitCount(mRejections) == 1) {
            LOG.warn(
                    "rejected data from %s (%d rejections so far): %s",
                    peer(), mRejections, printable(what));
        }
    }

    /**
     * Returns text from a peer in a form that is safe to log: truncated, and with non-printable and
     * non-ASCII characters replaced.
     */
    private static String printable(String text) {
        int length = Math.min(text.length(), MAX_LOGGED_PEER_TEXT);
        return text.substring(0, length).replaceAll("[^ -~]", "?");
    }

    private void writeAll() {
        try (DataOutputStream out = new DataOutputStream(mSocket.getOutputStream())) {
            while (!mClosed.get()) {
                Frame frame = mQueue.poll(KEEP_ALIVE_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
                out.write((frame == null ? KEEP_ALIVE_FRAME : frame).bytes());
            }
        } catch (IOException e) {
            logEnd("write failed", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            close();
        }
    }

    /** Queues a message; closes the link if its queue is full. */
    void send(ClusterMessage message) {
        send(new Frame(message));
    }

    /**
     * Queues a frame, which may be sent on other links too; closes the link if its queue is full.
     */
    void send(Frame frame) {
        if (!mQueue.offer(frame)) {
            LOG.info(
                    "link to %s closed: peer reads too slowly, %d messages queued",
                    peer(), MAX_QUEUED_MESSAGES);
            close();
        }
    }

    /**
     * Logs why the link ends, unless this side closed it. Nothing else is to be done: the dialling
     * side reconnects.
     */
    private void logEnd(String what, IOException e) {
        if (isOpen()) {
            LOG.info("link to %s closed: %s: %s", peer(), what, e);
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
            LOG.debug("cannot close the socket of %s: %s", peer(), e);
        }
    }
}
