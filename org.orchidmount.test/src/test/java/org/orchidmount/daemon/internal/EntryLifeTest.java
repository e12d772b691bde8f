/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.daemon.internal;

import static com.google.common.truth.Truth.assertThat;

import io.undertow.util.HeaderMap;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.orchidmount.clock.SystemMonotonicClock;
import org.orchidmount.internal.http.HttpLimits;
import org.orchidmount.internal.http.HttpServer;
import org.orchidmount.internal.http.ServerExchange;
import org.orchidmount.junit.Await;
import org.orchidmount.routing.RetryAfter;

/** Tests {@code EntryLife}. */
final class EntryLifeTest {
    private static final Duration LONGEST = Duration.ofSeconds(20);
    private final CountDownLatch mMayAnswer = new CountDownLatch(1);
    private final AtomicBoolean mKnowsTable = new AtomicBoolean();
    private final EntryLife mLife =
            new EntryLife(mKnowsTable::get, Duration.ofSeconds(6), new SystemMonotonicClock());
    private final HttpServer mServer =
            new HttpServer("127.0.0.1", 0, HttpLimits.defaults(), 1, this::serve);

    @AfterEach
    void close() {
        mServer.close();
    }

    @Test
    void isReadyOnlyWithATable() {
        assertThat(mLife.isReady()).isFalse();
        mKnowsTable.set(true);
        assertThat(mLife.isReady()).isTrue();
    }

    @Test
    void aStopAnswersWhatIsInAndClosesWhatIsIdle() throws Exception {
        mKnowsTable.set(true);
        try (Socket idle = new Socket("127.0.0.1", mServer.port());
                Socket busy = new Socket("127.0.0.1", mServer.port())) {
            assertThat(mLife.untilCut()).isEmpty();
            ask(idle, "/quick");
            assertThat(readHead(idle)).contains("200 OK");
            ask(busy, "/slow");
            Await.until("served", LONGEST, () -> mServer.active() == 1);
            CompletableFuture<Boolean> stopped = CompletableFuture.supplyAsync(this::stop);
            Await.until("not ready", LONGEST, () -> !mLife.isReady());
            assertThat(mLife.isRefusing()).isFalse();
            // 0.35 and 0.95 of 6 s, less what has passed.
            assertThat(mLife.retryAfter()).isGreaterThan(Duration.ofMillis(500));
            assertThat(mLife.retryAfter()).isAtMost(Duration.ofMillis(2_100));
            assertThat(mLife.untilCut().orElseThrow()).isGreaterThan(Duration.ofMillis(3_600));
            assertThat(mLife.untilCut().orElseThrow()).isAtMost(Duration.ofMillis(5_700));
            idle.setSoTimeout((int) LONGEST.toMillis());
            assertThat(idle.getInputStream().read()).isEqualTo(-1);
            assertThat(mLife.isRefusing()).isTrue();
            assertThat(mLife.retryAfter()).isEqualTo(RetryAfter.INSTANCE_STOPS);
            assertThat(stopped.isDone()).isFalse();
            mMayAnswer.countDown();
            assertThat(readHead(busy)).contains("Connection: close");
            assertThat(stopped.get()).isTrue();
        }
    }

    private boolean stop() {
        try {
            return mLife.stop(mServer);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private void serve(ServerExchange exchange) throws Exception {
        exchange.readAll(LONGEST, 100);
        if (exchange.path().equals("/slow")) {
            mMayAnswer.await();
        }
        exchange.answer(200, new HeaderMap(), new byte[0], LONGEST);
    }

    private static void ask(Socket socket, String path) throws IOException {
        String head = "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n";
        socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
    }

    private static String readHead(Socket socket) throws IOException {
        StringBuilder head = new StringBuilder();
        InputStream in = socket.getInputStream();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                break;
            }
            head.append((char) next);
        }
        return head.toString();
    }
}
