/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.Range;
import io.undertow.util.HeaderMap;
import java.io.IOException;
import java.time.Duration;
import java.util.Locale;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.orchidmount.junit.Await;
import org.orchidmount.junit.ManualClock;
import org.orchidmount.junit.RawCaller;
import org.orchidmount.routing.BodyMemoryRule;

/** Tests {@link BodyMemory}: the count is exact, kept within its bound and returned. */
final class BodyMemoryTest {
    private static final Duration LONG = Duration.ofSeconds(20);
    private static final int KIB = 1024;
    private static final int TOTAL_BYTES = 1024 * KIB;
    private static final int LARGE_BYTES = 300 * KIB;
    private static final int THREADS = 16;
    private static final int STEPS = 5_000;

    private final ManualClock mClock = new ManualClock();

    private BodyMemory memory(Duration maxWait) {
        return new BodyMemory(new BodyMemoryRule(TOTAL_BYTES), mClock, maxWait);
    }

    /** Guards against bytes that are counted twice or never returned. */
    @Test
    void whatIsHeldIsCountedUntilItIsReturned() throws Exception {
        BodyMemory memory = memory(Duration.ZERO);
        BodyMemory.Lease first = memory.open();
        BodyMemory.Lease second = memory.open();
        first.hold(LARGE_BYTES);
        second.hold(KIB);
        second.hold(LARGE_BYTES);
        assertThat(memory.heldBytes()).isEqualTo(2 * LARGE_BYTES);
        second.hold(10);
        assertThat(memory.heldBytes()).isEqualTo(LARGE_BYTES + 10);
        first.close();
        first.close();
        second.close();
        assertThat(memory.heldBytes()).isEqualTo(0);
        assertThat(memory.mostHeldBytes()).isEqualTo(2 * LARGE_BYTES);
        assertThat(memory.refused()).isEqualTo(0);
    }

    /** Guards against small requests that starve behind large ones. */
    @Test
    void aLargeBodyIsRefusedWhereASmallOneIsTaken() throws Exception {
        BodyMemory memory = memory(Duration.ZERO);
        memory.open().hold(3 * LARGE_BYTES);
        assertThrows(NoBodyMemoryException.class, () -> memory.open().hold(LARGE_BYTES));
        memory.open().hold(64 * KIB);
        assertThat(memory.heldBytes()).isEqualTo(3 * LARGE_BYTES + 64 * KIB);
        assertThat(memory.refused()).isEqualTo(1);
    }

    /** Guards against callers that come back too early or too late. */
    @Test
    void aRefusalTellsHowLongBodiesAreHeld() throws Exception {
        BodyMemory memory = memory(Duration.ZERO);
        for (int i = 0; i < 100; i++) {
            try (BodyMemory.Lease lease = memory.open()) {
                lease.hold(LARGE_BYTES);
                mClock.advance(Duration.ofMillis(300));
            }
        }
        memory.open().hold(3 * LARGE_BYTES);
        NoBodyMemoryException refusal =
                assertThrows(NoBodyMemoryException.class, () -> memory.open().hold(LARGE_BYTES));
        assertThat(refusal.holdTime().toMillis()).isIn(Range.closed(299L, 301L));
    }

    /** Guards against bodies that wait although memory was returned. */
    @Test
    void aBodyWaitsForMemoryThatIsReturned() throws Exception {
        BodyMemory memory = memory(LONG);
        BodyMemory.Lease first = memory.open();
        first.hold(3 * LARGE_BYTES);
        CompletableFuture<Void> second =
                CompletableFuture.runAsync(() -> hold(memory.open(), LARGE_BYTES));
        Await.until("it waits", LONG, () -> memory.waited() == 1);
        assertThat(second.isDone()).isFalse();
        first.close();
        second.get();
        assertThat(memory.heldBytes()).isEqualTo(LARGE_BYTES);
    }

    private static void hold(BodyMemory.Lease lease, int bytes) {
        try {
            lease.hold(bytes);
        } catch (IOException | InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    /** Guards against races that let the count exceed its bound or lose bytes. */
    @Test
    void theBoundIsKeptByManyThreads() throws Exception {
        BodyMemory memory = memory(Duration.ZERO);
        AtomicLong taken = new AtomicLong();
        try (ExecutorService threads = Executors.newFixedThreadPool(THREADS)) {
            for (int i = 0; i < THREADS; i++) {
                SplittableRandom random = new SplittableRandom(i);
                threads.submit(() -> takeAndReturn(memory, random, taken));
            }
        }
        assertThat(taken.get()).isGreaterThan(0);
        assertThat(memory.heldBytes()).isEqualTo(0);
        assertThat(memory.mostHeldBytes()).isAtMost(TOTAL_BYTES);
    }

    private static void takeAndReturn(
            BodyMemory memory, SplittableRandom random, AtomicLong taken) {
        for (int i = 0; i < STEPS; i++) {
            try (BodyMemory.Lease lease = memory.open()) {
                lease.hold(random.nextInt(LARGE_BYTES));
                lease.hold(random.nextInt(LARGE_BYTES));
                taken.incrementAndGet();
            } catch (NoBodyMemoryException e) {
                Thread.onSpinWait();
            } catch (IOException | InterruptedException e) {
                throw new AssertionError(e);
            }
        }
    }

    /** Guards against bodies read without memory, by any framing, and memory that is kept. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aBodyWithoutMemoryIsRefusedBeforeItIsRead(boolean isChunked) throws Exception {
        BodyMemory memory = memory(Duration.ZERO);
        BodyMemory.Lease other = memory.open();
        other.hold(3 * LARGE_BYTES);
        BlockingQueue<String> results = new LinkedBlockingQueue<>();
        try (HttpServer server =
                new HttpServer(
                        "127.0.0.1",
                        0,
                        HttpLimits.defaults(),
                        1,
                        memory,
                        exchange -> handle(exchange, results))) {
            String url = "http://127.0.0.1:" + server.port();
            String body = "x".repeat(LARGE_BYTES) + (isChunked ? "\r\n0\r\n\r\n" : "");
            try (RawCaller caller = new RawCaller(url)) {
                caller.send(head(isChunked, LARGE_BYTES));
                // Without a length it is refused once a part of it has come.
                caller.send(isChunked ? body : "");
                assertThat(results.poll(LONG.toSeconds(), TimeUnit.SECONDS)).isEqualTo("refused");
            }
            assertThat(memory.mostHeldBytes()).isAtMost(TOTAL_BYTES);
            other.close();
            Await.until("all is returned", LONG, () -> memory.heldBytes() == 0);
            try (RawCaller caller = new RawCaller(url)) {
                caller.send(head(isChunked, LARGE_BYTES) + body);
                assertThat(caller.readAll()).startsWith("HTTP/1.1 200");
            }
            assertThat(results.poll()).isEqualTo(LARGE_BYTES + " bytes");
            Await.until("all is returned", LONG, () -> memory.heldBytes() == 0);
        }
    }

    /** Guards against a refusal that its caller does not see, and one that reads the body. */
    @Test
    void aCallerThatWaitsWithItsBodySeesTheRefusal() throws Exception {
        BodyMemory memory = memory(Duration.ZERO);
        memory.open().hold(3 * LARGE_BYTES);
        try (HttpServer server =
                        new HttpServer(
                                "127.0.0.1",
                                0,
                                HttpLimits.defaults(),
                                1,
                                memory,
                                exchange -> handle(exchange, new LinkedBlockingQueue<>()));
                RawCaller caller = new RawCaller("http://127.0.0.1:" + server.port())) {
            caller.send("PUT / HTTP/1.1\r\nHost: x\r\nContent-Length: " + LARGE_BYTES);
            caller.send("\r\n\r\n");
            String response = caller.readAll();
            assertThat(response).startsWith("HTTP/1.1 503");
            assertThat(response.toLowerCase(Locale.ROOT)).contains("connection: close");
        }
    }

    private static String head(boolean isChunked, int bytes) {
        return "PUT / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                + (isChunked
                        ? "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(bytes) + "\r\n"
                        : "Content-Length: " + bytes + "\r\n\r\n");
    }

    private static void handle(ServerExchange exchange, Queue<String> results) throws Exception {
        int status = 200;
        try {
            results.add(exchange.readAll(LONG, TOTAL_BYTES).length + " bytes");
        } catch (NoBodyMemoryException e) {
            results.add("refused");
            status = 503;
        }
        exchange.answer(status, new HeaderMap(), new byte[0], LONG);
    }
}
