/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.upstream;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.undertow.util.HeaderMap;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.orchidmount.errors.Attempt;
import org.orchidmount.internal.http.HttpConnections;
import org.orchidmount.internal.http.HttpLimits;
import org.orchidmount.internal.http.HttpServer;
import org.orchidmount.internal.http.Peer;
import org.orchidmount.internal.http.ServerExchange;
import org.orchidmount.junit.TestConnections;
import org.orchidmount.settings.Settings;
import org.orchidmount.upstream.CancelSignal;
import org.orchidmount.upstream.TokenStream;

/** Tests {@link HttpEngineClient}. */
final class HttpEngineClientTest {
    private static final Duration LONG = Duration.ofSeconds(30);
    private static final Duration CANCEL_TIMEOUT = Duration.ofMillis(100);

    /** Longer than a cancel may take, far shorter than a stream may be silent. */
    private static final Duration ENGINE_PAUSE = Duration.ofMillis(400);

    private static final String CHOICE = "{\"text\":\"t\",\"finish_reason\":\"stop\"}";
    private static final String REST =
            "data: {\"id\":\"r\",\"offset\":5,\"choices\":[" + CHOICE + "]}\n\ndata: [DONE]\n\n";

    /**
     * A completion whose stream had a gap ended as failed on a busy machine, although its engine
     * held the rest: taking the stream up again was given up after the time for a cancel, in each
     * of the three attempts. Shortening that time to 1 ms caused the same failure each time.
     */
    @Test
    void aStreamIsTakenUpFromAnEngineThatPauses() throws Exception {
        try (HttpServer engine =
                        new HttpServer(
                                "127.0.0.1",
                                0,
                                HttpLimits.defaults(),
                                1,
                                HttpEngineClientTest::serveAfterAPause);
                TestConnections connections = new TestConnections(LONG)) {
            Peer peer = new Peer("engine", "127.0.0.1", engine.port());
            Attempt<TokenStream> resumed =
                    client(connections.get()).resume(peer, "r", 5, new CancelSignal());
            assertThat(resumed).isInstanceOf(Attempt.Done.class);
            try (TokenStream stream = ((Attempt.Done<TokenStream>) resumed).value()) {
                assertThat(stream.next().offset()).isEqualTo(5);
            }
        }
    }

    private static HttpEngineClient client(HttpConnections connections) {
        Settings.Upstreams settings =
                new Settings.Upstreams(LONG, LONG, LONG, CANCEL_TIMEOUT, LONG, LONG, 0);
        return new HttpEngineClient(connections, settings, "entry", "1", new MetricRegistry());
    }

    private static void serveAfterAPause(ServerExchange exchange) throws Exception {
        exchange.readAll(LONG, 1_000);
        CountDownLatch gone = new CountDownLatch(1);
        exchange.onGone(gone::countDown);
        boolean isGivenUp = gone.await(ENGINE_PAUSE.toMillis(), TimeUnit.MILLISECONDS);
        if (!isGivenUp) {
            exchange.answer(200, new HeaderMap(), REST.getBytes(StandardCharsets.UTF_8), LONG);
        }
    }
}
