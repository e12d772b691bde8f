/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import io.undertow.client.ClientResponse;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import org.orchidmount.errors.CallFailedException;
import org.orchidmount.errors.Step;
import org.orchidmount.internal.http.ConnectionPaths.TunnelResult;
import org.orchidmount.internal.log.PartLog;
import org.orchidmount.upstream.CancelSignal;

/**
 * Opens connections to upstreams through other instances.
 *
 * <p>Asks one instance after the other, the next one as soon as the previous one has refused or is
 * slow, and takes the first tunnel that is open. No byte of a request is sent before, so a tunnel
 * that cannot be opened proves that a request has not run. Thread-safe.
 */
final class TunnelOpener {
    private static final PartLog LOG = PartLog.of("tunnel");

    /** Instances asked for one connection. */
    private static final int MAX_PEERS = 4;

    /** Far longer than a tunnel within a site takes to open. */
    private static final Duration STAGGER = Duration.ofMillis(25);

    private static final Duration TIMEOUT = Duration.ofMillis(250);

    private static final int MAX_RESPONSE_BYTES = 1_024;

    private final ConnectionPaths mPaths;
    private final Handshaker mHandshaker;

    /** Connects to another instance and sends it the request for a tunnel. */
    interface Handshaker {
        /**
         * Returns a call whose response tells whether the tunnel is open.
         *
         * @throws CallFailedException if the instance cannot be reached
         */
        HttpCall request(
                Peer upstream, TunnelPeer through, Step step, Duration timeout, CancelSignal cancel)
                throws CallFailedException;
    }

    TunnelOpener(ConnectionPaths paths, Handshaker handshaker) {
        mPaths = paths;
        mHandshaker = handshaker;
    }

    /**
     * Opens a tunnel.
     *
     * @return the connection to the upstream; empty if no instance opened a tunnel in time
     */
    Optional<PooledConnection> open(Peer upstream, Step step, CancelSignal cancel) {
        List<TunnelPeer> peers = mPaths.tunnelPeers(MAX_PEERS);
        if (peers.isEmpty()) {
            return Optional.empty();
        }
        CompletableFuture<PooledConnection> winner = new CompletableFuture<>();
        try (CancelSignal.Registration _ = cancel.onCancel(() -> giveUp(winner))) {
            List<CompletableFuture<Void>> attempts = new ArrayList<>();
            for (TunnelPeer peer : peers) {
                CompletableFuture<Void> attempt = start(upstream, peer, step, cancel, winner);
                attempts.add(attempt);
                await(CompletableFuture.anyOf(winner, attempt), STAGGER);
                if (winner.isDone()) {
                    break;
                }
            }
            CompletableFuture<Void> all =
                    CompletableFuture.allOf(attempts.toArray(CompletableFuture[]::new));
            await(CompletableFuture.anyOf(winner, all), TIMEOUT);
            giveUp(winner);
            return Optional.of(winner.get());
        } catch (ExecutionException e) {
            LOG.debug("no tunnel to %s: %s", upstream.name(), e.getCause().getMessage());
            return Optional.empty();
        } catch (InterruptedException e) {
            giveUp(winner);
            winner.thenAccept(PooledConnection::closeLater);
            Thread.currentThread().interrupt();
            return Optional.empty();
        }
    }

    private static void giveUp(CompletableFuture<PooledConnection> winner) {
        winner.completeExceptionally(new IOException("no instance opened a tunnel"));
    }

    private static void await(CompletableFuture<?> future, Duration longest)
            throws InterruptedException {
        try {
            future.get(longest.toNanos(), TimeUnit.NANOSECONDS);
        } catch (ExecutionException | TimeoutException e) {
            LOG.debug("still without a tunnel: %s", e);
        }
    }

    private CompletableFuture<Void> start(
            Peer upstream,
            TunnelPeer through,
            Step step,
            CancelSignal cancel,
            CompletableFuture<PooledConnection> winner) {
        CompletableFuture<Void> ended = new CompletableFuture<>();
        Thread.ofVirtual()
                .name("tunnel-open")
                .start(
                        () -> {
                            try {
                                request(upstream, through, step, cancel, winner);
                            } finally {
                                ended.complete(null);
                            }
                        });
        return ended;
    }

    private void request(
            Peer upstream,
            TunnelPeer through,
            Step step,
            CancelSignal cancel,
            CompletableFuture<PooledConnection> winner) {
        TunnelResult result =
                request(
                        upstream,
                        through,
                        step,
                        cancel,
                        connection -> {
                            if (!winner.complete(connection)) {
                                connection.closeLater();
                            }
                        });
        if (!cancel.isCancelled()) {
            mPaths.tunnelled(upstream, through, result);
        }
    }

    /** Asks one instance whether it connects to an upstream, and closes the tunnel. */
    TunnelResult probe(Peer upstream, TunnelPeer through) {
        return request(
                upstream, through, Step.FORWARD, new CancelSignal(), PooledConnection::closeLater);
    }

    private TunnelResult request(
            Peer upstream,
            TunnelPeer through,
            Step step,
            CancelSignal cancel,
            Consumer<PooledConnection> receiver) {
        try (HttpCall call = mHandshaker.request(upstream, through, step, TIMEOUT, cancel)) {
            ClientResponse response = call.awaitHandshake(TIMEOUT);
            call.readAll(TIMEOUT, MAX_RESPONSE_BYTES);
            TunnelResult result = TunnelHandshake.result(response.getResponseCode());
            if (result == TunnelResult.OPENED) {
                receiver.accept(call.takeConnection());
            }
            return result;
        } catch (CallFailedException e) {
            LOG.debug("no tunnel through %s: %s", through, e.failure().describe());
            return TunnelResult.INSTANCE_REFUSED;
        }
    }
}
