/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.path;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.HexFormat;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.internal.http.AddressMap;
import org.orchidmount.internal.http.TunnelHandshake;
import org.orchidmount.internal.log.PartLog;

/**
 * Opens tunnels to upstreams for instances that cannot reach them.
 *
 * <p>Invariants: a tunnel leads directly to a registered upstream, never to another tunnel; its
 * caller knows the token of this start of this instance, which only members of the cluster are
 * told; the number of tunnels is bounded, so that this instance's own callers are not affected.
 * Thread-safe.
 */
public final class TunnelServer implements AutoCloseable {
    private static final PartLog LOG = PartLog.of("tunnel");

    private static final int BACKLOG = 256;

    /** Tunnels open at a time; each takes two sockets and two buffers. */
    private static final int MAX_TUNNELS = 256;

    private static final int TOKEN_BYTES = 16;
    private static final int MAX_HEAD_BYTES = 2_048;
    private static final byte[] HEAD_END = "\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final Duration HEAD_TIMEOUT = Duration.ofSeconds(1);

    /** Far longer than a round trip within a site. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(150);

    /** The shortest pause of a stream after which its caller gives it up. */
    private static final Duration QUIET = Duration.ofSeconds(2);

    private static final Duration QUIET_POLL = Duration.ofMillis(50);

    private final ServerSocket mSocket = new ServerSocket();
    private final String mIdentityField;
    private final UpstreamAddresses mUpstreams;
    private final BooleanSupplier mIsDirect;
    private final AddressMap mAddresses;
    private final MonotonicClock mClock;
    private final String mToken;
    private final Set<Tunnel> mTunnels = ConcurrentHashMap.newKeySet();
    private final AtomicLong mOpened = new AtomicLong();
    private final AtomicLong mRefused = new AtomicLong();
    private final AtomicLong mBytes = new AtomicLong();
    private final Thread mAcceptThread;
    private volatile boolean mIsDraining;

    /** The addresses of registered upstreams. Thread-safe. */
    @FunctionalInterface
    public interface UpstreamAddresses {
        /**
         * Returns whether an upstream is registered at an address.
         *
         * @param host the IP address
         * @param port the TCP port
         * @return true if one is
         */
        boolean contains(String host, int port);
    }

    /**
     * Begins to accept tunnels.
     *
     * @param host the IP address to listen at
     * @param port the TCP port; 0 for a free one
     * @param identityField the name of the field that carries the identity of a call
     * @param upstreams the addresses to which tunnels may lead
     * @param isDirect whether this instance reaches upstreams directly
     * @param addresses where upstreams are dialled
     * @param clock the clock
     * @throws IOException if the address cannot be bound
     */
    public TunnelServer(
            String host,
            int port,
            String identityField,
            UpstreamAddresses upstreams,
            BooleanSupplier isDirect,
            AddressMap addresses,
            MonotonicClock clock)
            throws IOException {
        mIdentityField = identityField;
        mUpstreams = upstreams;
        mIsDirect = isDirect;
        mAddresses = addresses;
        mClock = clock;
        byte[] token = new byte[TOKEN_BYTES];
        new SecureRandom().nextBytes(token);
        mToken = HexFormat.of().formatHex(token);
        mSocket.setReuseAddress(true);
        mSocket.bind(new InetSocketAddress(host, port), BACKLOG);
        mAcceptThread = Thread.ofVirtual().name("tunnel-server").start(this::accept);
    }

    /**
     * Returns the token that callers must present.
     *
     * @return the token of this start
     */
    public String token() {
        return mToken;
    }

    /**
     * Returns the port at which tunnels are accepted.
     *
     * @return the TCP port
     */
    public int port() {
        return mSocket.getLocalPort();
    }

    private void accept() {
        while (!mSocket.isClosed()) {
            try {
                Socket socket = mSocket.accept();
                Thread.ofVirtual().name("tunnel").start(() -> serve(socket));
            } catch (IOException e) {
                if (!mSocket.isClosed()) {
                    LOG.warn("cannot accept a connection: %s", e);
                }
            }
        }
    }

    private void serve(Socket caller) {
        try (caller) {
            caller.setTcpNoDelay(true);
            caller.setSoTimeout((int) HEAD_TIMEOUT.toMillis());
            Optional<TunnelHandshake.Request> request =
                    TunnelHandshake.parse(readHead(caller), mIdentityField);
            if (request.isEmpty()) {
                LOG.info("malformed request from %s", caller.getRemoteSocketAddress());
                return;
            }
            caller.setSoTimeout(0);
            open(caller, request.get());
        } catch (IOException e) {
            LOG.debug("tunnel from %s ended: %s", caller.getRemoteSocketAddress(), e);
        }
    }

    /** Reads no further than the head: the caller sends nothing more before the response. */
    private static String readHead(Socket caller) throws IOException {
        byte[] head = new byte[MAX_HEAD_BYTES];
        int length = 0;
        while (!endsHead(head, length)) {
            int count = caller.getInputStream().read(head, length, head.length - length);
            if (count <= 0) {
                throw new IOException(
                        "no complete request of at most " + MAX_HEAD_BYTES + " bytes");
            }
            length += count;
        }
        return new String(head, 0, length, StandardCharsets.US_ASCII);
    }

    private static boolean endsHead(byte[] head, int length) {
        for (int i = 0; i < HEAD_END.length; i++) {
            int at = length - HEAD_END.length + i;
            if (at < 0 || head[at] != HEAD_END[i]) {
                return false;
            }
        }
        return true;
    }

    private void open(Socket caller, TunnelHandshake.Request request) throws IOException {
        int refusal = refusal(request);
        if (refusal != TunnelHandshake.OPENED) {
            mRefused.incrementAndGet();
            respond(caller, refusal, request);
            return;
        }
        try (Socket upstream = new Socket()) {
            int status = connect(upstream, request);
            if (status != TunnelHandshake.OPENED) {
                respond(caller, status, request);
                return;
            }
            upstream.setTcpNoDelay(true);
            Tunnel tunnel = new Tunnel(caller, upstream, mBytes, mClock, Tunnel.MAX_IDLE);
            mTunnels.add(tunnel);
            try {
                mOpened.incrementAndGet();
                respond(caller, TunnelHandshake.OPENED, request);
                tunnel.run();
            } finally {
                mTunnels.remove(tunnel);
            }
        }
    }

    /** Returns the status by which a request is refused, or that of an open tunnel. */
    private int refusal(TunnelHandshake.Request request) {
        byte[] token = request.token().getBytes(StandardCharsets.UTF_8);
        if (!MessageDigest.isEqual(token, mToken.getBytes(StandardCharsets.UTF_8))) {
            return TunnelHandshake.FORBIDDEN;
        }
        boolean isUsable = !mIsDraining && mIsDirect.getAsBoolean();
        if (!isUsable || mTunnels.size() >= MAX_TUNNELS) {
            return TunnelHandshake.INSTANCE_REFUSED;
        }
        boolean isUpstream = mUpstreams.contains(request.host(), request.port());
        return isUpstream ? TunnelHandshake.OPENED : TunnelHandshake.INSTANCE_REFUSED;
    }

    /** Connects to an upstream; returns the status that tells the result. */
    private int connect(Socket upstream, TunnelHandshake.Request request) {
        try {
            upstream.connect(
                    mAddresses.toDialled(new InetSocketAddress(request.host(), request.port())),
                    (int) CONNECT_TIMEOUT.toMillis());
            return TunnelHandshake.OPENED;
        } catch (ConnectException e) {
            LOG.debug("%s:%d refuses connections: %s", request.host(), request.port(), e);
            return TunnelHandshake.UPSTREAM_REFUSED;
        } catch (IOException e) {
            LOG.debug("no connection to %s:%d: %s", request.host(), request.port(), e);
            return TunnelHandshake.UPSTREAM_SILENT;
        }
    }

    private void respond(Socket caller, int status, TunnelHandshake.Request request)
            throws IOException {
        String response = TunnelHandshake.response(status, mIdentityField, request.identity());
        caller.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
    }

    /**
     * Opens no more tunnels, and waits until those that are open have ended or carry nothing.
     *
     * @param longest the longest wait
     * @throws InterruptedException if the thread is interrupted
     */
    public void drain(Duration longest) throws InterruptedException {
        stopOpening();
        long untilNanos = mClock.nanoTime() + longest.toNanos();
        while (!isQuiet() && untilNanos - mClock.nanoTime() > 0) {
            Thread.sleep(QUIET_POLL);
        }
    }

    private boolean isQuiet() {
        return mTunnels.stream().allMatch(tunnel -> tunnel.isQuietFor(QUIET));
    }

    /** Opens no more tunnels; those that are open go on. */
    public void stopOpening() {
        mIsDraining = true;
    }

    /** Returns the counters, for the log. */
    @Override
    public String toString() {
        return "%d opened, %d refused, %d bytes, %d open"
                .formatted(mOpened.get(), mRefused.get(), mBytes.get(), mTunnels.size());
    }

    @Override
    public void close() {
        try {
            mSocket.close();
        } catch (IOException e) {
            LOG.warn("cannot close the listening socket: %s", e);
        }
        mTunnels.forEach(Tunnel::close);
        try {
            mAcceptThread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
