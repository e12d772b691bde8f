/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.undertow.client.ClientResponse;
import io.undertow.util.Methods;
import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.orchidmount.errors.CallFailedException;
import org.orchidmount.errors.Failure;
import org.orchidmount.errors.Step;
import org.orchidmount.junit.RawUpstream;
import org.orchidmount.junit.TestConnections;

/** Bodies of upstreams that never stop for long and come too slowly. */
final class SlowBodyTest {
    private static final Duration IO = Duration.ofSeconds(10);
    private static final Duration TIMEOUT = Duration.ofMillis(500);
    private static final Duration BETWEEN_PARTS = Duration.ofMillis(100);

    /** Takes four times as long as the timeout allows. */
    private static final int PARTS = 20;

    /** Guards against a body whose every part may take as long as the whole. */
    @ParameterizedTest
    @CsvSource({
        "Content-Length: 20, WHOLE",
        "Connection: close, WHOLE",
        "Content-Length: 20, WITHIN_MEMORY",
        "Connection: close, WITHIN_MEMORY",
        "Content-Length: 20, DISCARD",
        "Connection: close, DISCARD"
    })
    void theTimeoutIsThatOfTheWholeBody(String field, Reading reading) throws Exception {
        RawUpstream.Script script =
                (request, connection) -> {
                    connection.send("HTTP/1.1 200 OK\r\n" + field + "\r\n\r\n");
                    for (int i = 0; i < PARTS; i++) {
                        connection.send("a");
                        Thread.sleep(BETWEEN_PARTS);
                    }
                    connection.end();
                };
        try (RawUpstream upstream = new RawUpstream(script);
                TestConnections connections = new TestConnections(IO)) {
            Peer peer = new Peer("peer", "127.0.0.1", upstream.port());
            try (HttpCall call =
                    connections.get().call(peer, Step.FORWARD, HttpHead.of(Methods.GET, "/a"))) {
                ClientResponse response = call.awaitResponse(IO);
                CallFailedException failed =
                        assertThrows(CallFailedException.class, () -> call.readAll(TIMEOUT, 1_000));
                assertThat(failed.failure()).isInstanceOf(Failure.TimedOut.class);
            }
        }
    }

    /** The ways in which a body is read. */
    private enum Reading {
        WHOLE,
        WITHIN_MEMORY,
        DISCARD
    }

    private static void read(HttpCall call, ClientResponse response, Reading reading)
            throws Exception {
        switch (reading) {
            case WHOLE -> call.readAll(TIMEOUT, 1_000);
            case WITHIN_MEMORY ->
                    ResponseReader.read(
                            call, response, TIMEOUT, 1_000, BodyMemory.unbounded().openResponse());
            default -> call.discard(TIMEOUT, 1_000);
        }
    }
}
