/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.ThreadLocalRandom;
import org.orchidmount.cluster.ClusterMessage.Greeting;
import org.orchidmount.internal.log.PartLog;

/**
 * Keeps a link to one address open: reconnects with exponential backoff whenever it breaks.
 * Thread-safe.
 */
final class Dialer implements AutoCloseable {
    /** Failed attempts are frequent while a peer is down, so each is logged at debug level only. */
    private static final PartLog LOG = PartLog.of("link");

    /** Far longer than a round trip between the regions of a site. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

    /** Delay before the first reconnection attempt; doubled after each failed attempt. */
    private static final long MIN_BACKOFF_MILLIS = 80;

    /**
     * Upper bound of the backoff; short, so that a link is restored soon after its path recovers.
     */
    private static final long MAX_BACKOFF_MILLIS = 800;

    private final HostPort mAddress;
    private final Greeting mGreeting;
    private final Link.Handler mHandler;
    private final Thread mThread;
    private volatile boolean mClosed;
    private volatile Link mLink;

    Dialer(HostPort address, Greeting greeting, Link.Handler handler) {
        mAddress = address;
        mGreeting = greeting;
        mHandler = handler;
        mThread = Thread.ofVirtual().name("dial-" + address).start(this::keepOpen);
    }

    private void keepOpen() {
        long backoffMillis = MIN_BACKOFF_MILLIS;
        while (!mClosed) {
            if (connect()) {
                backoffMillis = MIN_BACKOFF_MILLIS;
            }
            try {
                Thread.sleep(
                        backoffMillis
                                + ThreadLocalRandom.current().nextLong(backoffMillis / 2 + 1));
            } catch (InterruptedException e) {
                return;
            }
            backoffMillis = Math.min(MAX_BACKOFF_MILLIS, 2 * backoffMillis);
        }
    }

    /**
     * Connects once and processes messages until the link breaks; returns whether the connection
     * was established.
     */
    private boolean connect() {
        Socket socket = new Socket();
        try {
            socket.connect(
                    new InetSocketAddress(mAddress.host(), mAddress.port()),
                    (int) CONNECT_TIMEOUT.toMillis());
            Link link = new Link(socket, mHandler);
            mLink = link;
            link.send(mGreeting);
            link.run();
            return true;
        } catch (IOException e) {
            closeAfter(e, socket);
            return false;
        }
    }

    private void closeAfter(IOException failure, Socket socket) {
        LOG.debug("cannot connect to %s: %s", mAddress, failure);
        try {
            socket.close();
        } catch (IOException e) {
            LOG.debug("cannot close the socket of %s: %s", mAddress, e);
        }
    }

    @Override
    public void close() {
        mClosed = true;
        Link link = mLink;
        if (link != null) {
            link.close();
        }
        mThread.interrupt();
    }
}
