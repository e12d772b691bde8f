/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.junit;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A TCP proxy that delays, stalls or cuts what passes through it.
 *
 * <p>Delays are drawn for each part and connection, so parts of different connections overtake one
 * another; within a connection order is kept, as TCP keeps it. Thread-safe.
 */
public final class FaultProxy implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    private final InetSocketAddress mTarget;
    private final ServerSocket mListener;
    private final SplittableRandom mRandom;
    private final Set<Socket> mSockets = ConcurrentHashMap.newKeySet();
    private final Object mChanged = new Object();
    private final AtomicLong mBytes = new AtomicLong();
    private Mode mMode = Mode.clear();

    /**
     * Starts a proxy on a free loopback port.
     *
     * @param host the target's IP address
     * @param port the target's TCP port
     * @param seed makes its delays repeatable
     * @throws IOException if no port can be bound
     */
    public FaultProxy(String host, int port, long seed) throws IOException {
        mTarget = new InetSocketAddress(host, port);
        mRandom = new SplittableRandom(seed);
        mListener = new ServerSocket(0, 1024, InetAddress.getLoopbackAddress());
        Thread.ofVirtual().start(this::accept);
    }

    /**
     * Returns the port bound.
     *
     * @return the TCP port
     */
    public int port() {
        return mListener.getLocalPort();
    }

    /**
     * Sets what happens to bytes from now on.
     *
     * @param mode the mode
     */
    public void set(Mode mode) {
        synchronized (mChanged) {
            mMode = mode;
            mChanged.notifyAll();
        }
    }

    /** Closes all connections now; new ones are taken. */
    public void cutAll() {
        mSockets.forEach(FaultProxy::closeQuietly);
    }

    /**
     * Returns the bytes that came from both sides.
     *
     * @return the payload bytes of TCP
     */
    public long bytes() {
        return mBytes.get();
    }

    private Mode mode() {
        synchronized (mChanged) {
            return mMode;
        }
    }

    private void accept() {
        while (!mListener.isClosed()) {
            try {
                Socket caller = mListener.accept();
                Thread.ofVirtual().start(() -> serve(caller));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket caller) {
        Socket target = new Socket();
        mSockets.add(caller);
        mSockets.add(target);
        try {
            if (mode().refuse()) {
                throw new IOException("refused by the proxy");
            }
            caller.setTcpNoDelay(true);
            target.setTcpNoDelay(true);
            target.connect(mTarget, CONNECT_TIMEOUT_MILLIS);
            Thread back = Thread.ofVirtual().start(() -> copy(target, caller, true));
            copy(caller, target, false);
            back.join();
        } catch (IOException e) {
            closeQuietly(caller);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            closeQuietly(caller);
            closeQuietly(target);
            mSockets.remove(caller);
            mSockets.remove(target);
        }
    }

    private void copy(Socket from, Socket to, boolean back) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                mBytes.addAndGet(count);
                hold(back);
                out.write(buffer, 0, count);
                out.flush();
            }
            to.shutdownOutput();
        } catch (IOException e) {
            closeQuietly(from);
            closeQuietly(to);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void hold(boolean back) throws InterruptedException {
        long delayMillis;
        synchronized (mChanged) {
            while (back ? mMode.stallBack() : mMode.stallForth()) {
                mChanged.wait();
            }
            long most = mMode.maxDelayMillis();
            delayMillis = most == 0 ? 0 : mRandom.nextLong(most + 1);
        }
        if (delayMillis > 0) {
            Thread.sleep(delayMillis);
        }
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException ignored) {
            // Nothing is left to be done with it.
        }
    }

    @Override
    public void close() {
        try {
            mListener.close();
        } catch (IOException ignored) {
            // The listener is of no further use.
        }
        set(Mode.clear());
        cutAll();
    }

    /**
     * What happens to bytes. Immutable.
     *
     * @param maxDelayMillis the longest delay of a part
     * @param stallForth true to hold what goes to the target
     * @param stallBack true to hold what comes from the target
     * @param refuse true to close new connections at once
     */
    public record Mode(long maxDelayMillis, boolean stallForth, boolean stallBack, boolean refuse) {
        /**
         * Returns the mode that lets everything pass.
         *
         * @return no faults
         */
        public static Mode clear() {
            return new Mode(0, false, false, false);
        }

        /**
         * Returns the mode that holds everything.
         *
         * @return a stall in both directions
         */
        public static Mode stall() {
            return new Mode(0, true, true, false);
        }
    }
}
