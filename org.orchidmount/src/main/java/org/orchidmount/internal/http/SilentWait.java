/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.TimeoutException;

/** Waits for an upstream, and reports its silence at intervals meanwhile. Stateless. */
final class SilentWait {
    private static final Duration INTERVAL = Duration.ofMillis(100);

    private SilentWait() {}

    /** A wait of limited time. */
    @FunctionalInterface
    interface Wait<T> {
        T await(Duration timeout) throws IOException, TimeoutException, InterruptedException;
    }

    /**
     * Waits in parts.
     *
     * @param timeout the longest wait
     * @param wait waits for a part of the time
     * @param onSilence runs after each part without a result
     * @return the result of the wait
     */
    static <T> T await(Duration timeout, Wait<T> wait, Runnable onSilence)
            throws IOException, TimeoutException, InterruptedException {
        Duration left = timeout;
        while (left.compareTo(INTERVAL) > 0) {
            try {
                return wait.await(INTERVAL);
            } catch (TimeoutException e) {
                onSilence.run();
                left = left.minus(INTERVAL);
            }
        }
        return wait.await(left);
    }
}
