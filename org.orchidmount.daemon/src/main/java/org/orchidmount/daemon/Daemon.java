/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.daemon;

import java.io.IOException;
import org.orchidmount.daemon.internal.RunningDaemon;
import org.orchidmount.settings.Settings;

/**
 * One running instance of the router.
 *
 * <p>Thread-safe. A daemon is started by {@link #start} and stopped once.
 */
public interface Daemon extends AutoCloseable {
    /**
     * Starts an instance.
     *
     * @param settings its settings
     * @return the running instance
     * @throws IOException if its files cannot be read or its addresses not bound; the message names
     *     the place
     */
    static Daemon start(Settings settings) throws IOException {
        return RunningDaemon.start(settings);
    }

    /**
     * Returns the port bound for callers.
     *
     * @return the TCP port
     */
    int callerPort();

    /**
     * Returns the port bound for operators.
     *
     * @return the TCP port
     */
    int operatorPort();

    /**
     * Stops as planned: turns unready, takes work for a notice more, lets all requests finish
     * within the limit, and ends. Returns when that is done; a second call returns at once.
     */
    void drainAndStop();

    /** Breaks off a planned stop: what still runs is cancelled, and its callers get that answer. */
    void stopNow();

    /**
     * Waits until the instance has stopped.
     *
     * @return true if every request has finished, false if some had to be broken off
     * @throws InterruptedException if the thread is interrupted
     */
    boolean awaitStop() throws InterruptedException;

    @Override
    void close();
}
