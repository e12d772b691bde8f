/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.path;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import org.orchidmount.internal.http.Peer;
import org.orchidmount.path.PathNetwork.Attempt;

/** Connection attempts to several upstreams, on a virtual thread each. Stateless. */
final class PathAttempts {
    /** Time for the first attempt alone; longer than a round trip within a site. */
    private static final Duration STAGGER = Duration.ofMillis(25);

    private PathAttempts() {}

    /** Makes one attempt. */
    @FunctionalInterface
    interface Attempter {
        Attempt attempt(Peer upstream) throws InterruptedException;
    }

    /**
     * Makes one attempt, and soon the others side by side; returns what had become of them when the
     * first one succeeded, or all had ended.
     */
    static Results make(List<Peer> upstreams, Attempter attempter) throws InterruptedException {
        AtomicInteger successes = new AtomicInteger();
        AtomicInteger failures = new AtomicInteger();
        AtomicInteger left = new AtomicInteger(upstreams.size());
        CompletableFuture<Void> decided = new CompletableFuture<>();
        for (Peer upstream : upstreams) {
            boolean isFirst = upstream == upstreams.getFirst();
            Thread.ofVirtual()
                    .name("path-attempt")
                    .start(
                            () -> {
                                Attempt result =
                                        isFirst || !isDoneWithin(decided, STAGGER)
                                                ? attempt(upstream, attempter)
                                                : Attempt.NOT_MADE;
                                if (result == Attempt.CONNECTED) {
                                    successes.incrementAndGet();
                                } else if (result == Attempt.FAILED) {
                                    failures.incrementAndGet();
                                }
                                if (result == Attempt.CONNECTED || left.decrementAndGet() == 0) {
                                    decided.complete(null);
                                }
                            });
        }
        if (!upstreams.isEmpty()) {
            awaitDecided(decided);
        }
        return new Results(successes.get(), failures.get());
    }

    private static boolean isDoneWithin(CompletableFuture<Void> decided, Duration longest) {
        try {
            decided.get(longest.toNanos(), TimeUnit.NANOSECONDS);
            return true;
        } catch (TimeoutException e) {
            return false;
        } catch (ExecutionException e) {
            throw new IllegalStateException("connection attempts end without a result", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return true;
        }
    }

    private static Attempt attempt(Peer upstream, Attempter attempter) {
        try {
            return attempter.attempt(upstream);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Attempt.NOT_MADE;
        }
    }

    private static void awaitDecided(CompletableFuture<Void> decided) throws InterruptedException {
        try {
            decided.get();
        } catch (ExecutionException e) {
            throw new IllegalStateException("connection attempts end without a result", e);
        }
    }

    /** What has become of attempts so far. */
    record Results(int successes, int failures) {}
}
