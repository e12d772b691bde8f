/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.junit;

/**
 * Waits for the thread of a listening socket that was closed: the socket, and with it the port,
 * stays open until that thread has woken up. Stateless and thread-safe.
 */
final class ListenerEnd {
    private ListenerEnd() {}

    static void await(Thread accepting) {
        try {
            accepting.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
