/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import org.orchidmount.cluster.ClusterMessage.Greeting;
import org.orchidmount.internal.log.PartLog;

/**
 * Accepts links from other instances.
 *
 * <p>Invariant: after {@link #close} the address can be bound again. Thread-safe.
 */
final class LinkServer implements AutoCloseable {
    private static final PartLog LOG = PartLog.of("link");

    /** Backlog of the listening socket; larger than the number of instances of a site. */
    private static final int BACKLOG = 512;

    private final ServerSocket mSocket;
    private final Greeting mGreeting;
    private final Link.Handler mHandler;
    private final Thread mAcceptThread;

    LinkServer(HostPort address, Greeting greeting, Link.Handler handler) throws IOException {
        mGreeting = greeting;
        mHandler = handler;
        mSocket = new ServerSocket();
        mSocket.setReuseAddress(true);
        mSocket.bind(new InetSocketAddress(address.host(), address.port()), BACKLOG);
        mAcceptThread = Thread.ofVirtual().name("link-server").start(this::accept);
    }

    int port() {
        return mSocket.getLocalPort();
    }

    private void accept() {
        while (!mSocket.isClosed()) {
            try {
                Socket socket = mSocket.accept();
                Link link = new Link(socket, mHandler);
                link.send(mGreeting);
                Thread.ofVirtual().name("link-reader").start(link::run);
            } catch (IOException e) {
                if (!mSocket.isClosed()) {
                    LOG.warn("cannot accept a connection: %s", e);
                }
            }
        }
    }

    @Override
    public void close() {
        try {
            mSocket.close();
        } catch (IOException e) {
            LOG.warn("cannot close the listening socket: %s", e);
        }
        awaitAcceptThread();
    }

    /**
     * Waits for the accepting thread, which keeps the socket and its address in use until it
     * returns.
     */
    private void awaitAcceptThread() {
        try {
            mAcceptThread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
