/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.orchidmount.internal.log.PartLog;

/** The thread that a node confines its state to. */
@Timeout(60)
final class TaskThreadTest {
    private static final PartLog LOG = PartLog.of("test");

    /**
     * A node that was being closed walked over its links while its thread was still adding one
     * (ConcurrentModificationException).
     */
    @Test
    void closeWaitsForTheRunningTask() throws InterruptedException {
        TaskThread tasks = new TaskThread("node", LOG);
        CountDownLatch running = new CountDownLatch(1);
        CountDownLatch interrupted = new CountDownLatch(1);
        CountDownLatch mayEnd = new CountDownLatch(1);
        AtomicBoolean ended = new AtomicBoolean();
        tasks.post(
                () -> {
                    running.countDown();
                    awaitInterrupt(interrupted);
                    awaitUninterruptibly(mayEnd);
                    ended.set(true);
                });
        running.await();
        AtomicBoolean endedBeforeClose = new AtomicBoolean();
        Thread closer =
                Thread.ofPlatform()
                        .start(
                                () -> {
                                    tasks.close();
                                    endedBeforeClose.set(ended.get());
                                });
        interrupted.await();
        mayEnd.countDown();
        closer.join();

        assertThat(endedBeforeClose.get()).isTrue();
    }

    /** A task that closes its own node would otherwise wait for itself. */
    @Test
    void taskMayClose() throws InterruptedException {
        TaskThread tasks = new TaskThread("node", LOG);
        CountDownLatch closed = new CountDownLatch(1);
        long beforeNanos = System.nanoTime();
        tasks.post(
                () -> {
                    tasks.close();
                    closed.countDown();
                });
        closed.await();

        assertThat(System.nanoTime() - beforeNanos).isLessThan(5_000_000_000L);
    }

    private static void awaitInterrupt(CountDownLatch interrupted) {
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            interrupted.countDown();
        }
    }

    private static void awaitUninterruptibly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            awaitUninterruptibly(latch);
        }
    }
}
