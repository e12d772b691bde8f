/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import io.undertow.UndertowOptions;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import org.orchidmount.errors.CallFailedException;
import org.orchidmount.errors.Failure;
import org.orchidmount.errors.Step;
import org.orchidmount.internal.http.ConnectionPaths.TunnelResult;
import org.orchidmount.upstream.CancelSignal;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioWorker;

/**
 * Opens connections to upstreams: directly, or through a tunnel of another instance.
 *
 * <p>A direct attempt that fails or is slow is backed up by a tunnel, in the manner of RFC 8305:
 * the one that is open first is used. Thread-safe.
 */
final class ConnectionOpener {
    static final String CANCELLED = "cancelled before anything was sent";

    private static final String REFUSED = "Connection refused";

    /** Bytes read at a time. */
    private static final int BUFFER_BYTES = 16 * 1024;

    /** Bytes that the system holds for each socket. */
    private static final int SOCKET_BUFFER_BYTES = 64 * 1024;

    /** Far longer than a round trip within a site. */
    private static final Duration TUNNEL_AFTER = Duration.ofMillis(100);

    private final HttpConnections mPool;
    private final XnioWorker mWorker;
    private final Duration mConnectTimeout;
    private final HttpString mIdentityField;
    private final AddressMap mAddresses;
    private final ConnectionPaths mPaths;
    private final TunnelOpener mTunnels;
    private final AtomicLong mNumber = new AtomicLong();
    private final ByteBufferPool mBuffers = new DefaultByteBufferPool(false, BUFFER_BYTES);
    private final OptionMap mOptions =
            OptionMap.builder()
                    .set(Options.TCP_NODELAY, true)
                    .set(Options.RECEIVE_BUFFER, SOCKET_BUFFER_BYTES)
                    .set(UndertowOptions.ENABLE_STATISTICS, true)
                    .getMap();

    ConnectionOpener(
            HttpConnections pool,
            XnioWorker worker,
            Duration connectTimeout,
            HttpString identityField,
            AddressMap addresses,
            ConnectionPaths paths) {
        mPool = pool;
        mWorker = worker;
        mConnectTimeout = connectTimeout;
        mIdentityField = identityField;
        mAddresses = addresses;
        mPaths = paths;
        mTunnels = new TunnelOpener(paths, this::requestTunnel);
    }

    /** Opens a connection by the path in use. */
    PooledConnection open(Peer peer, Step step, CancelSignal cancel) throws CallFailedException {
        ConnectionPath path = mPaths.current();
        if (path == ConnectionPath.NONE) {
            throw unreachable(peer, step, "no upstream can be reached");
        }
        if (path == ConnectionPath.TUNNEL) {
            return openTunnel(peer, step, cancel)
                    .orElseThrow(() -> unreachable(peer, step, "no tunnel could be opened"));
        }
        return openDirectly(peer, step, cancel);
    }

    /** Opens a tunnel to an upstream; empty if no other instance can. */
    Optional<PooledConnection> openTunnel(Peer peer, Step step, CancelSignal cancel) {
        return mTunnels.open(peer, step, cancel);
    }

    /** Asks one instance whether it connects to an upstream. */
    TunnelResult probeTunnel(Peer peer, TunnelPeer through) {
        return mTunnels.probe(peer, through);
    }

    private PooledConnection openDirectly(Peer peer, Step step, CancelSignal cancel)
            throws CallFailedException {
        CompletableFuture<DialledConnection> attempt = dial(peer);
        try {
            return established(peer, await(attempt, TUNNEL_AFTER, cancel));
        } catch (TimeoutException e) {
            return openEither(peer, step, cancel, attempt);
        } catch (IOException e) {
            recordFailure(peer, cancel);
            return openTunnel(peer, step, cancel)
                    .orElseThrow(() -> unreachable(peer, step, e.getMessage()));
        } catch (InterruptedException e) {
            throw interrupted(peer, step, attempt);
        }
    }

    /** Opens a tunnel while a direct attempt goes on; without one, waits for the attempt. */
    private PooledConnection openEither(
            Peer peer, Step step, CancelSignal cancel, CompletableFuture<DialledConnection> attempt)
            throws CallFailedException {
        Optional<PooledConnection> tunnel = openTunnel(peer, step, cancel);
        if (tunnel.isPresent()) {
            recordLater(peer, attempt);
            return tunnel.get();
        }
        try {
            return established(peer, await(attempt, mConnectTimeout.minus(TUNNEL_AFTER), cancel));
        } catch (TimeoutException e) {
            abandon(attempt, e);
            recordFailure(peer, cancel);
            throw unreachable(peer, step, "no connection in " + mConnectTimeout.toMillis() + " ms");
        } catch (IOException e) {
            recordFailure(peer, cancel);
            throw unreachable(peer, step, e.getMessage());
        } catch (InterruptedException e) {
            throw interrupted(peer, step, attempt);
        }
    }

    private PooledConnection established(Peer peer, DialledConnection connection) {
        mPaths.dialled(peer, true);
        return pooled(peer, connection, Optional.empty());
    }

    private void recordFailure(Peer peer, CancelSignal cancel) {
        if (!cancel.isCancelled()) {
            mPaths.dialled(peer, false);
        }
    }

    /** Records the result of an attempt whose connection is not needed any more. */
    private void recordLater(Peer peer, CompletableFuture<DialledConnection> attempt) {
        attempt.orTimeout(mConnectTimeout.toNanos(), TimeUnit.NANOSECONDS)
                .whenComplete(
                        (connection, error) -> {
                            mPaths.dialled(peer, error == null);
                            if (connection != null) {
                                PooledConnection.closeLater(connection.connection());
                            }
                        });
    }

    /**
     * Attempts one direct connection.
     *
     * @param timeout the longest wait
     * @return the connection; empty if it was not established in time
     */
    Optional<PooledConnection> probe(Peer peer, Duration timeout) throws InterruptedException {
        CompletableFuture<DialledConnection> attempt = dial(peer);
        try {
            DialledConnection connection = attempt.get(timeout.toNanos(), TimeUnit.NANOSECONDS);
            return Optional.of(pooled(peer, connection, Optional.empty()));
        } catch (TimeoutException e) {
            abandon(attempt, e);
            return Optional.empty();
        } catch (ExecutionException e) {
            return Optional.empty();
        } catch (InterruptedException e) {
            abandon(attempt, e);
            throw e;
        }
    }

    /** Connects to another instance and asks it for a tunnel to an upstream. */
    private HttpCall requestTunnel(
            Peer upstream, TunnelPeer through, Step step, Duration timeout, CancelSignal cancel)
            throws CallFailedException {
        Peer peer = new Peer(through.node(), through.host(), through.port());
        CompletableFuture<DialledConnection> attempt = connect(peer.address());
        try {
            DialledConnection connection = await(attempt, timeout, cancel);
            PooledConnection pooled = pooled(upstream, connection, Optional.of(through.node()));
            HttpCall call = new HttpCall(mPool, peer, step, pooled, true);
            call.abortOn(cancel);
            call.send(TunnelHandshake.head(upstream, through, mIdentityField), false);
            return call;
        } catch (TimeoutException e) {
            abandon(attempt, e);
            throw unreachable(peer, step, "no connection in " + timeout.toMillis() + " ms");
        } catch (IOException e) {
            throw unreachable(peer, step, e.getMessage());
        } catch (InterruptedException e) {
            throw interrupted(peer, step, attempt);
        }
    }

    private PooledConnection pooled(
            Peer upstream, DialledConnection connection, Optional<String> through) {
        return new PooledConnection(
                connection,
                mPool.nanoTime(),
                mNumber.incrementAndGet(),
                through,
                () -> mPool.surplusFrom(upstream));
    }

    private CompletableFuture<DialledConnection> dial(Peer peer) {
        return connect(mAddresses.toDialled(peer.address()));
    }

    private CompletableFuture<DialledConnection> connect(InetSocketAddress address) {
        URI uri = URI.create("http://" + address.getHostString() + ":" + address.getPort());
        CompletableFuture<DialledConnection> opened = new CompletableFuture<>();
        ReceiveLimit limit = new ReceiveLimit();
        UndertowClient.getInstance()
                .connect(
                        new Connected(opened, limit),
                        uri,
                        new LimitedOpener(mWorker.getIoThread(), limit),
                        mBuffers,
                        mOptions);
        return opened;
    }

    /** Waits for a connection; a cancel closes it. */
    private static DialledConnection await(
            CompletableFuture<DialledConnection> attempt, Duration timeout, CancelSignal cancel)
            throws IOException, TimeoutException, InterruptedException {
        try (CancelSignal.Registration _ =
                cancel.onCancel(() -> attempt.completeExceptionally(new IOException(CANCELLED)))) {
            return attempt.get(timeout.toNanos(), TimeUnit.NANOSECONDS);
        } catch (ExecutionException e) {
            throw new IOException(describe(e.getCause()), e.getCause());
        }
    }

    /** Some virtual machines add the name of their own step to a refusal. */
    private static String describe(Throwable error) {
        String message = String.valueOf(error.getMessage());
        boolean isRefusal = error instanceof ConnectException && message.startsWith(REFUSED);
        return isRefusal ? REFUSED : message;
    }

    private static void abandon(CompletableFuture<DialledConnection> attempt, Exception reason) {
        attempt.completeExceptionally(reason);
        attempt.thenAccept(dialled -> PooledConnection.closeLater(dialled.connection()));
    }

    private static CallFailedException interrupted(
            Peer peer, Step step, CompletableFuture<DialledConnection> attempt) {
        abandon(attempt, new InterruptedException());
        Thread.currentThread().interrupt();
        return unreachable(peer, step, "interrupted");
    }

    static CallFailedException unreachable(Peer peer, Step step, String detail) {
        return new CallFailedException(new Failure.Unreachable(step, peer.name(), detail));
    }

    private record Connected(CompletableFuture<DialledConnection> opened, ReceiveLimit limit)
            implements ClientCallback<ClientConnection> {
        @Override
        public void completed(ClientConnection connection) {
            if (!opened.complete(new DialledConnection(connection, limit))) {
                PooledConnection.closeLater(connection);
            }
        }

        @Override
        public void failed(IOException e) {
            opened.completeExceptionally(e);
        }
    }
}
