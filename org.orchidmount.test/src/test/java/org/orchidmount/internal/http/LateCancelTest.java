/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import static com.google.common.truth.Truth.assertThat;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.orchidmount.errors.Step;
import org.orchidmount.junit.TestConnections;
import org.orchidmount.upstream.CancelSignal;

/**
 * A cancel that is under way when its call ends breaks no later call off.
 *
 * <p>Seen: by reading only. How it comes about: a caller leaves as it gets the last byte. The
 * cancel has taken the list of what it runs; before it comes to the call's abort, the call is
 * closed and its connection is given to the call of another request. Cause: closing the
 * registration does not hold an abort back that is already on its way, and an abort does not ask
 * whether the connection is still its call's. Proof: an action before the abort holds the cancel at
 * that place.
 */
final class LateCancelTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    /** Far less than the calls wait for their responses. */
    private static final Duration AT_ONCE = Duration.ofSeconds(5);

    private static final HttpString IDENTITY = new HttpString("X-Request-Id");

    /** Answered only when the test lets it be. */
    private static final String HELD = "/held";

    /** Answered by half at once. */
    private static final String HALF = "/half";

    private final CountDownLatch mHeldArrived = new CountDownLatch(1);
    private final CountDownLatch mMayAnswer = new CountDownLatch(1);
    private final CountDownLatch mCancelBegun = new CountDownLatch(1);
    private final CountDownLatch mMayGoOn = new CountDownLatch(1);
    private final CancelSignal mCancel = new CancelSignal();
    private HttpServer mServer;
    private TestConnections mTestConnections;
    private HttpConnections mConnections;
    private Peer mPeer;

    @BeforeEach
    void start() {
        mServer = new HttpServer("127.0.0.1", 0, HttpLimits.defaults(), 1, this::serve);
        mTestConnections = new TestConnections(TIMEOUT);
        mConnections = mTestConnections.get();
        mPeer = new Peer("server", "127.0.0.1", mServer.port());
    }

    @AfterEach
    void stop() {
        mMayGoOn.countDown();
        mMayAnswer.countDown();
        mTestConnections.close();
        mServer.close();
    }

    private void serve(ServerExchange exchange) throws Exception {
        HeaderMap headers = new HeaderMap().put(IDENTITY, exchange.header(IDENTITY.toString()));
        if (exchange.path().equals(HALF)) {
            exchange.start(200, headers);
            exchange.write(new byte[1], TIMEOUT);
            mHeldArrived.countDown();
            mMayAnswer.await(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
            exchange.write(new byte[1], TIMEOUT);
            exchange.end(TIMEOUT);
            return;
        }
        if (exchange.path().equals(HELD)) {
            mHeldArrived.countDown();
            mMayAnswer.await(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
        }
        exchange.answer(200, headers, new byte[0], TIMEOUT);
    }

    /** Makes a call of a request whose caller leaves, and another one on the same connection. */
    private HttpCall callBehindACancelledOne(String path) throws Exception {
        mCancel.onCancel(this::holdCancel);
        HttpHead first = HttpHead.of(Methods.GET, "/").with(IDENTITY, "first");
        HttpCall ended = mConnections.call(mPeer, Step.FORWARD, first, mCancel);
        ended.awaitResponse(TIMEOUT);
        ended.readAll(TIMEOUT, 100);
        Thread cancelling =
                Thread.ofVirtual().start(() -> mCancel.cancel(CancelSignal.Reason.CALLER_GONE));
        mCancelBegun.await();
        ended.close();
        HttpHead second = HttpHead.of(Methods.GET, path).with(IDENTITY, "second");
        HttpCall other = mConnections.call(mPeer, Step.FORWARD, second);
        mHeldArrived.await();
        if (path.equals(HALF)) {
            other.awaitResponse(TIMEOUT);
            assertThat(other.read(TIMEOUT)).hasLength(1);
        }
        assertThat(mConnections.counters().reusedCount()).isEqualTo(1);
        mMayGoOn.countDown();
        cancelling.join();
        return other;
    }

    private void holdCancel() {
        mCancelBegun.countDown();
        try {
            mMayGoOn.await();
        } catch (InterruptedException e) {
            throw new AssertionError("interrupted", e);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {HELD, HALF})
    void aLaterCallOnTheConnectionGetsItsResponse(String path) throws Exception {
        try (HttpCall other = callBehindACancelledOne(path)) {
            mMayAnswer.countDown();
            assertThat(other.awaitResponse(AT_ONCE).getResponseCode()).isEqualTo(200);
            assertThat(other.readAll(AT_ONCE, 100)).hasLength(path.equals(HALF) ? 1 : 0);
        }
    }
}
