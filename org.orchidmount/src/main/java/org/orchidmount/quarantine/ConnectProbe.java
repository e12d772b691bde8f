/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.quarantine;

import java.io.IOException;
import java.net.ConnectException;
import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import org.orchidmount.internal.http.AddressMap;
import org.orchidmount.internal.http.Peer;
import org.orchidmount.internal.log.PartLog;

/**
 * Probes an upstream by opening a TCP connection without sending data. Immutable and thread-safe.
 *
 * <p>A successful connection is repeated: the sockets of a terminating process are closed one after
 * the other, so its port may still be open when its connections have already broken. If the
 * termination were missed for that reason, the crash would not be counted, and the request would go
 * on to crash another upstream.
 */
public final class ConnectProbe implements TerminationProbe {
    private static final PartLog LOG = PartLog.of("crash");

    /** Connection attempts to a port that stays open; the last one decides. */
    private static final int MAX_ATTEMPTS = 3;

    /** Time between two attempts, far longer than it takes to close the sockets of a process. */
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(20);

    /** Delays the retry of a request; far longer than a round trip. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(100);

    private final Sleeper mSleeper;
    private final AddressMap mAddresses;

    /** Sleeps between two attempts; replaced in tests. */
    @FunctionalInterface
    interface Sleeper {
        void sleep(Duration time);
    }

    /** Creates a probe that sleeps in real time, and dials upstreams where they are registered. */
    public ConnectProbe() {
        this(time -> LockSupport.parkNanos(time.toNanos()));
    }

    /**
     * Creates a probe that sleeps in real time.
     *
     * @param addresses where upstreams are dialled
     * @return the probe
     */
    public static ConnectProbe dialling(AddressMap addresses) {
        return new ConnectProbe(time -> LockSupport.parkNanos(time.toNanos()), addresses);
    }

    ConnectProbe(Sleeper sleeper) {
        this(sleeper, AddressMap.IDENTITY);
    }

    private ConnectProbe(Sleeper sleeper, AddressMap addresses) {
        mSleeper = sleeper;
        mAddresses = addresses;
    }

    @Override
    public Finding probe(Peer peer) {
        Finding finding = connect(peer);
        for (int attempts = 1; attempts < MAX_ATTEMPTS && finding == Finding.LISTENS; attempts++) {
            mSleeper.sleep(RETRY_INTERVAL);
            finding = connect(peer);
        }
        return finding;
    }

    private Finding connect(Peer peer) {
        try (Socket socket = new Socket()) {
            socket.connect(mAddresses.toDialled(peer.address()), (int) CONNECT_TIMEOUT.toMillis());
            return Finding.LISTENS;
        } catch (ConnectException e) {
            LOG.debug(
                    "upstream %s has terminated, its port refuses connections: %s",
                    peer.name(), e.getMessage());
            return Finding.ENDED;
        } catch (IOException e) {
            LOG.debug("no answer from the host of upstream %s: %s", peer.name(), e.getMessage());
            return Finding.SILENT;
        }
    }
}
