/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.quarantine;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import org.orchidmount.internal.http.Peer;
import org.orchidmount.internal.log.PartLog;

/**
 * Probes by a connection that carries nothing. Immutable and thread-safe.
 *
 * <p>Something that listens is looked at again: the sockets of a process that ends are closed one
 * after the other, so its port may still be open when its connections have broken. An end that was
 * missed for that would not count, and the request would go on to end another upstream.
 */
public final class ConnectProbe implements EndProbe {
    private static final PartLog LOG = PartLog.of("crash");

    /** Looks at a port that stays open; the last one decides. */
    private static final int LOOKS = 3;

    /** Between two looks: far more than the closing of a process's sockets takes. */
    private static final Duration PAUSE = Duration.ofMillis(20);

    /** A request waits for it before it is tried again; far more than a round trip. */
    private static final Duration TIMEOUT = Duration.ofMillis(100);

    private final Pauser mPauser;

    /** Waits between two looks; replaced by tests. */
    @FunctionalInterface
    interface Pauser {
        void pause(Duration time);
    }

    /** Creates a probe that waits in real time. */
    public ConnectProbe() {
        this(pause -> LockSupport.parkNanos(pause.toNanos()));
    }

    ConnectProbe(Pauser pauser) {
        mPauser = pauser;
    }

    @Override
    public Finding probe(Peer peer) {
        Finding finding = look(peer);
        for (int looks = 1; looks < LOOKS && finding == Finding.LISTENS; looks++) {
            mPauser.pause(PAUSE);
            finding = look(peer);
        }
        return finding;
    }

    private static Finding look(Peer peer) {
        try (Socket socket = new Socket()) {
            socket.connect(
                    new InetSocketAddress(peer.host(), peer.port()), (int) TIMEOUT.toMillis());
            return Finding.LISTENS;
        } catch (ConnectException e) {
            LOG.debug("%s has ended: %s", peer.name(), e.getMessage());
            return Finding.ENDED;
        } catch (IOException e) {
            LOG.debug("%s is silent: %s", peer.name(), e.getMessage());
            return Finding.SILENT;
        }
    }
}
