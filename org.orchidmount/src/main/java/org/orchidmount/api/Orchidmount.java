/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.api;

import io.undertow.util.HttpString;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import org.orchidmount.clock.SystemMonotonicClock;
import org.orchidmount.internal.http.HttpConnections;
import org.orchidmount.internal.http.Peer;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * The operators' view of one instance: makes command objects, each of which is called once.
 *
 * <p>Thread-safe; the commands it makes are not.
 */
public final class Orchidmount implements AutoCloseable {
    /** Longer than a lost first packet takes to be sent again, about 1 s. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(3);

    /** Names a request in the answers of an instance; commands carry none. */
    private static final HttpString IDENTITY_FIELD = new HttpString("Orchidmount-Request-Id");

    private final Peer mPeer;
    private final String mToken;
    private final XnioWorker mWorker;
    private final HttpConnections mConnections;

    private Orchidmount(Peer peer, String token, XnioWorker worker) {
        mPeer = peer;
        mToken = token;
        mWorker = worker;
        mConnections =
                new HttpConnections(
                        worker, new SystemMonotonicClock(), CONNECT_TIMEOUT, IDENTITY_FIELD);
    }

    /**
     * Prepares to speak to an instance; connects with the first command.
     *
     * @param url the address of its operators' listener, for example "http://127.0.0.1:7080"
     * @param token the operator's token
     * @return the instance
     * @throws IllegalArgumentException if the address is not one
     * @throws IOException if no I/O thread can be started
     */
    public static Orchidmount connect(String url, String token) throws IOException {
        URI uri = URI.create(url);
        if (!"http".equals(uri.getScheme()) || uri.getHost() == null || uri.getPort() < 0) {
            throw new IllegalArgumentException(
                    "'" + url + "' is no address; give http://IP-ADDRESS:PORT");
        }
        XnioWorker worker =
                Xnio.getInstance()
                        .createWorker(
                                OptionMap.create(
                                        Options.WORKER_IO_THREADS, 1, Options.THREAD_DAEMON, true));
        return new Orchidmount(new Peer(url, uri.getHost(), uri.getPort()), token, worker);
    }

    /**
     * Returns the address spoken to.
     *
     * @return the address
     */
    public String url() {
        return mPeer.name();
    }

    /**
     * Reads how the instance is.
     *
     * @return the command
     */
    public ReadCommand status() {
        return new ReadCommand(this, "/v1/status");
    }

    /**
     * Reads what the instance knows of the upstreams.
     *
     * @return the command
     */
    public ReadCommand upstreams() {
        return new ReadCommand(this, "/v1/upstreams");
    }

    /**
     * Reads the requests in progress.
     *
     * @return the command
     */
    public ReadCommand requests() {
        return new ReadCommand(this, "/v1/requests");
    }

    /**
     * Reads the table.
     *
     * @return the command
     */
    public TableCommand table() {
        return new TableCommand(this);
    }

    /**
     * Reads the audit trail.
     *
     * @return the command
     */
    public AuditCommand audit() {
        return new AuditCommand(this);
    }

    /**
     * Changes the table.
     *
     * @return the command
     */
    public ChangeCommand change() {
        return new ChangeCommand(this);
    }

    Peer peer() {
        return mPeer;
    }

    String token() {
        return mToken;
    }

    HttpConnections connections() {
        return mConnections;
    }

    @Override
    public void close() {
        mConnections.close();
        mWorker.shutdownNow();
    }
}
