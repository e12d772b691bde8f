/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.path;

import java.io.IOException;
import org.orchidmount.clock.SystemMonotonicClock;
import org.orchidmount.internal.http.AddressMap;

/** Opens tunnels in a process of its own, which a test kills. */
final class TunnelProcess {
    private TunnelProcess() {}

    /**
     * Opens tunnels to any upstream.
     *
     * @param arguments none
     * @throws IOException if no port is free
     * @throws InterruptedException never
     */
    public static void main(String[] arguments) throws IOException, InterruptedException {
        try (TunnelServer server =
                new TunnelServer(
                        "127.0.0.1",
                        0,
                        "X-Request-Id",
                        (host, port) -> true,
                        () -> true,
                        AddressMap.IDENTITY,
                        new SystemMonotonicClock())) {
            System.err.println("token=" + server.token());
            System.out.println("tunnels ready port=" + server.port());
            Thread.currentThread().join();
        }
    }
}
