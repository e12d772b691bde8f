/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.junit;

import io.undertow.util.HttpString;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import org.orchidmount.clock.MonotonicClock;
import org.orchidmount.clock.SystemMonotonicClock;
import org.orchidmount.internal.http.HttpConnections;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Connections with an I/O thread of their own, which ends with them. Thread-safe. */
public final class TestConnections implements AutoCloseable {
    private static final HttpString IDENTITY_FIELD = new HttpString("X-Request-Id");

    /** Two would do if what has come were acted on at once; a close is acted on by a task. */
    private static final int TASKS_TO_SETTLE = 4;

    private final XnioWorker mWorker;
    private final HttpConnections mConnections;

    /**
     * Starts the I/O thread.
     *
     * @param connectTimeout the longest wait for a new connection
     */
    public TestConnections(Duration connectTimeout) {
        this(connectTimeout, new SystemMonotonicClock());
    }

    /**
     * Starts the I/O thread.
     *
     * @param connectTimeout the longest wait for a new connection
     * @param clock tells how long a connection has been idle
     */
    public TestConnections(Duration connectTimeout, MonotonicClock clock) {
        try {
            mWorker =
                    Xnio.getInstance()
                            .createWorker(
                                    OptionMap.create(
                                            Options.WORKER_IO_THREADS,
                                            1,
                                            Options.THREAD_DAEMON,
                                            true));
        } catch (IOException e) {
            throw new UncheckedIOException("no I/O thread for connections", e);
        }
        mConnections = new HttpConnections(mWorker, clock, connectTimeout, IDENTITY_FIELD);
    }

    /**
     * Returns the connections.
     *
     * @return the connections, until {@link #close}
     */
    public HttpConnections get() {
        return mConnections;
    }

    /**
     * Waits until the I/O thread has acted on all that peers had sent before. It looks for what has
     * come between any two tasks that it is given one after the other.
     *
     * @throws InterruptedException if the thread is interrupted
     */
    public void settle() throws InterruptedException {
        for (int i = 0; i < TASKS_TO_SETTLE; i++) {
            CountDownLatch ran = new CountDownLatch(1);
            mWorker.getIoThread().execute(ran::countDown);
            ran.await();
        }
    }

    @Override
    public void close() {
        mConnections.close();
        mWorker.shutdownNow();
    }
}
