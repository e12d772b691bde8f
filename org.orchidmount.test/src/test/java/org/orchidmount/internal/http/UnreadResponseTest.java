/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.undertow.util.HeaderMap;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.orchidmount.clock.SystemMonotonicClock;
import org.orchidmount.junit.Await;
import org.orchidmount.junit.RawCaller;
import org.orchidmount.relay.UnreadResponses;
import org.orchidmount.relay.UnreadResponses.Reason;
import org.orchidmount.relay.UnreadRule;

/**
 * Responses whose callers read late, slowly or never. What sockets hold is some hundred KiB, so
 * responses are larger than that.
 */
final class UnreadResponseTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final int SOCKET_BYTES = 16 * 1024;
    private static final int PART_BYTES = 10_000;
    private static final int PARTS = 80;
    private static final int CALLER_BYTES = 1024 * 1024;
    private static final int TOTAL_BYTES = 8 * 1024 * 1024;

    private final UnreadResponses mUnread = unread(TOTAL_BYTES);
    private final LinkedBlockingQueue<Object> mHandled = new LinkedBlockingQueue<>();
    private volatile UnreadResponses mUsed = mUnread;
    private volatile Duration mStallTime = Duration.ofSeconds(15);
    private volatile int mParts = PARTS;
    private HttpServer mServer;

    @BeforeEach
    void start() {
        mServer = new HttpServer("127.0.0.1", 0, HttpLimits.defaults(), 1, this::serve);
    }

    @AfterEach
    void stop() {
        mServer.close();
    }

    private static UnreadResponses unread(int totalBytes) {
        return new UnreadResponses(
                new UnreadRule(CALLER_BYTES, totalBytes), new SystemMonotonicClock());
    }

    /** Serves as the path says, and notes how that ended for the handler. */
    private void serve(ServerExchange exchange) throws Exception {
        exchange.readAll(TIMEOUT, 100);
        UnreadResponses used = mUsed;
        if (used != null) {
            exchange.holdUnread(disconnect -> used.open(exchange.path(), disconnect), mStallTime);
        }
        try {
            switch (exchange.path()) {
                case "/whole" -> exchange.answer(200, new HeaderMap(), body(mParts), TIMEOUT);
                case "/cut" -> {
                    stream(exchange);
                    exchange.abort(AbortCause.UPSTREAM_FAILED, "a fault of the stand-in");
                }
                default -> {
                    stream(exchange);
                    exchange.end(TIMEOUT);
                }
            }
            mHandled.add("returned");
        } catch (IOException | TimeoutException e) {
            mHandled.add(e);
            throw e;
        }
    }

    private void stream(ServerExchange exchange) throws Exception {
        Duration timeout = mUsed == null ? Duration.ofMillis(700) : TIMEOUT;
        exchange.start(200, new HeaderMap());
        byte[] body = body(mParts);
        for (int i = 0; i < mParts; i++) {
            byte[] part = new byte[PART_BYTES];
            System.arraycopy(body, i * PART_BYTES, part, 0, PART_BYTES);
            exchange.write(part, timeout);
        }
    }

    private static byte[] body(int parts) {
        byte[] body = new byte[parts * PART_BYTES];
        for (int i = 0; i < body.length; i++) {
            body[i] = (byte) ('a' + i / 97 % 26);
        }
        return body;
    }

    private RawCaller call(String path, String version) throws IOException {
        RawCaller caller = new RawCaller(mServer.port(), SOCKET_BYTES);
        caller.send("GET " + path + " " + version + "\r\nHost: x\r\n\r\n");
        return caller;
    }

    private Object handled() throws InterruptedException {
        return mHandled.poll(10, TimeUnit.SECONDS);
    }

    private void awaitNothingHeld() {
        Await.until("delivered", Await.LONG, () -> mServer.active() == 0);
        assertThat(mUnread.heldBytes()).isEqualTo(0);
        assertThat(mUnread.callersBehind()).isEqualTo(0);
    }

    /** Returns a body from its chunks; fails if the last one is missing. */
    private static String unchunk(String chunked) {
        StringBuilder body = new StringBuilder();
        int at = 0;
        while (true) {
            int lineEnd = chunked.indexOf("\r\n", at);
            int length = Integer.parseInt(chunked.substring(at, lineEnd), 16);
            if (length == 0) {
                return body.toString();
            }
            body.append(chunked, lineEnd + 2, lineEnd + 2 + length);
            at = lineEnd + 2 + length + 2;
        }
    }

    private static String text(int parts) {
        return new String(body(parts), StandardCharsets.UTF_8);
    }

    /** The sender is done at once, and the caller gets all whenever it reads. */
    @ParameterizedTest
    @CsvSource({
        "/stream, HTTP/1.1, 80",
        "/stream, HTTP/1.0, 80",
        "/whole, HTTP/1.1, 80",
        "/whole, HTTP/1.0, 80",
        "/whole, HTTP/1.1, 400"
    })
    void aCompleteResponseIsDeliveredLate(String path, String version, int parts) throws Exception {
        mParts = parts;
        try (RawCaller caller = call(path, version)) {
            assertThat(handled()).isEqualTo("returned");
            assertThat(mUnread.callersBehind()).isEqualTo(1);
            assertThat(mServer.active()).isEqualTo(1);
            Thread.sleep(500);
            caller.readUntil("\r\n\r\n");
            boolean isChunked = path.equals("/stream") && version.equals("HTTP/1.1");
            if (isChunked) {
                assertThat(unchunk(caller.readUntil("\r\n0\r\n\r\n"))).isEqualTo(text(parts));
            } else {
                assertThat(new String(caller.read(parts * PART_BYTES))).isEqualTo(text(parts));
            }
            awaitNothingHeld();
            if (version.equals("HTTP/1.0")) {
                assertThat(caller.readAll()).isEmpty();
            } else {
                caller.send("GET /whole HTTP/1.1\r\nHost: x\r\n\r\n");
                caller.readUntil("\r\n\r\n");
                assertThat(new String(caller.read(parts * PART_BYTES))).isEqualTo(text(parts));
            }
        }
        assertThat(mUnread.mostHeldBytes()).isGreaterThan(100_000L);
    }

    /**
     * A stream that exceeds its bound is broken off, in a way that cannot be taken for its end:
     * without chunks only a reset says so.
     */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1", "HTTP/1.0"})
    void aStreamThatIsBrokenOffDoesNotLookComplete(String version) throws Exception {
        mParts = 200;
        try (RawCaller caller = call("/stream", version)) {
            assertThat(handled()).isInstanceOf(IOException.class);
            Await.until("closed", Await.LONG, () -> mServer.active() == 0);
            IOException seen = assertThrows(IOException.class, caller::readAll);
            assertThat(seen).hasMessageThat().contains("reset");
        }
        assertThat(mUnread.disconnected(Reason.CALLER_BYTES)).isEqualTo(1);
        assertThat(mUnread.mostHeldBytes()).isAtMost(CALLER_BYTES);
        awaitNothingHeld();
    }

    /** What was sent before a stream broke off reaches its caller, and no end does. */
    @Test
    void anAbortedStreamIsSentAsFarAsItGoes() throws Exception {
        try (RawCaller caller = call("/cut", "HTTP/1.1")) {
            assertThat(handled()).isEqualTo("returned");
            assertThat(mUnread.callersBehind()).isEqualTo(1);
            caller.readUntil("\r\n\r\n");
            String chunked = caller.readAll();
            assertThat(chunked).doesNotContain("\r\n0\r\n");
            assertThat(unchunk(chunked + "0\r\n")).isEqualTo(text(PARTS));
        }
        awaitNothingHeld();
    }

    /** A response that has ended for its sender must not be held for ever. */
    @ParameterizedTest
    @ValueSource(strings = {"/stream", "/whole"})
    void aCallerThatReadsNothingIsDisconnected(String path) throws Exception {
        mStallTime = Duration.ofMillis(600);
        try (RawCaller caller = call(path, "HTTP/1.1")) {
            assertThat(handled()).isEqualTo("returned");
            long startNanos = System.nanoTime();
            awaitNothingHeld();
            Duration took = Duration.ofNanos(System.nanoTime() - startNanos);
            assertThat(took).isAtLeast(Duration.ofMillis(500));
            assertThat(took).isLessThan(Duration.ofMillis(3_000));
            assertThrows(IOException.class, caller::readAll);
        }
        assertThat(mUnread.disconnected(Reason.STALLED)).isEqualTo(1);
    }

    /** Slow is not stalled, however long it takes. */
    @Test
    void aCallerThatReadsSlowlyGetsAll() throws Exception {
        mStallTime = Duration.ofMillis(900);
        try (RawCaller caller = call("/whole", "HTTP/1.1")) {
            assertThat(handled()).isEqualTo("returned");
            caller.readUntil("\r\n\r\n");
            StringBuilder read = new StringBuilder();
            while (read.length() < PARTS * PART_BYTES) {
                Thread.sleep(50);
                int count = Math.min(PART_BYTES, PARTS * PART_BYTES - read.length());
                read.append(new String(caller.read(count), StandardCharsets.UTF_8));
            }
            assertThat(read.toString()).isEqualTo(text(PARTS));
        }
        awaitNothingHeld();
        assertThat(mUnread.disconnected(Reason.STALLED)).isEqualTo(0);
    }

    /** Guards against memory that is not freed, and a departure that counts as an error. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1", "HTTP/1.0"})
    void whatIsHeldForACallerThatLeavesIsFreed(String version) throws Exception {
        mStallTime = Duration.ofMillis(900);
        try (RawCaller caller = call("/whole", version)) {
            assertThat(handled()).isEqualTo("returned");
            caller.readUntil("\r\n\r\n");
            assertThat(mUnread.heldBytes()).isGreaterThan(100_000L);
        }
        awaitNothingHeld();
        Thread.sleep(mStallTime);
        assertThat(mServer.abortedResponses().toString()).isEqualTo("{}");
    }

    /** One caller with much unread is disconnected for the bound of all; its neighbours go on. */
    @Test
    void theGreedyCallerAloneIsDisconnected() throws Exception {
        mUsed = unread(2 * CALLER_BYTES);
        List<RawCaller> neighbours = new ArrayList<>();
        mParts = 50;
        for (int i = 0; i < 4; i++) {
            neighbours.add(call("/stream", "HTTP/1.1"));
            assertThat(handled()).isEqualTo("returned");
        }
        mParts = 130;
        try (RawCaller greedy = call("/whole", "HTTP/1.1")) {
            assertThat(handled()).isNotNull();
            mParts = 50;
            neighbours.add(call("/stream", "HTTP/1.1"));
            assertThat(handled()).isEqualTo("returned");
            assertThat(mUsed.disconnected(Reason.TOTAL_BYTES)).isEqualTo(1);
            assertThrows(IOException.class, greedy::readAll);
        }
        for (RawCaller neighbour : neighbours) {
            neighbour.readUntil("\r\n\r\n");
            assertThat(unchunk(neighbour.readUntil("\r\n0\r\n\r\n"))).isEqualTo(text(50));
            neighbour.close();
        }
        assertThat(mUsed.mostHeldBytes()).isAtMost(2 * CALLER_BYTES);
    }

    /** A caller that reads costs nothing: none of its bytes is ever held. */
    @Test
    void nothingIsHeldForACallerThatReads() throws Exception {
        mParts = 2;
        try (RawCaller caller = call("/stream", "HTTP/1.1")) {
            caller.readUntil("\r\n0\r\n\r\n");
        }
        awaitNothingHeld();
        assertThat(mUnread.mostHeldBytes()).isEqualTo(0);
    }

    /**
     * Without bounds the sender waits for its caller, and nothing is held. Guards against a caller
     * that is given up and takes what it has for whole.
     */
    @Test
    void withoutBoundsTheSenderWaits() throws Exception {
        mUsed = null;
        try (RawCaller caller = call("/stream", "HTTP/1.1")) {
            assertThat(handled()).isInstanceOf(TimeoutException.class);
            caller.readUntil("\r\n\r\n");
            assertThrows(IOException.class, caller::readAll);
        }
        assertThat(mUnread.mostHeldBytes()).isEqualTo(0);
    }
}
