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
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.orchidmount.errors.CallFailedException;
import org.orchidmount.errors.Failure;
import org.orchidmount.errors.Step;
import org.orchidmount.junit.Await;
import org.orchidmount.junit.ManualClock;
import org.orchidmount.junit.StutteringUpstream;
import org.orchidmount.junit.TestConnections;

/** Tests which calls share a connection, and which responses are taken for theirs. */
final class HttpConnectionsTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final HttpString IDENTITY = new HttpString("X-Request-Id");

    /** Makes the server send this identity back in place of that of the call. */
    private static final HttpString SENT_BACK = new HttpString("Send-Back");

    private static final String NOTHING = "nothing";

    private HttpServer mServer;
    private TestConnections mTestConnections;
    private HttpConnections mConnections;
    private Peer mPeer;

    @BeforeEach
    void start() {
        mServer =
                new HttpServer(
                        "127.0.0.1", 0, HttpLimits.defaults(), 1, HttpConnectionsTest::serve);
        mTestConnections = new TestConnections(TIMEOUT);
        mConnections = mTestConnections.get();
        mPeer = new Peer("server", "127.0.0.1", mServer.port());
    }

    @AfterEach
    void stop() {
        mTestConnections.close();
        mServer.close();
    }

    private static void serve(ServerExchange exchange) throws Exception {
        String identity = exchange.header(IDENTITY.toString());
        String sentBack = exchange.header(SENT_BACK.toString());
        String received = sentBack == null ? identity : sentBack;
        HeaderMap headers = new HeaderMap();
        if (received != null && !received.equals(NOTHING)) {
            headers.put(IDENTITY, received);
        }
        exchange.answer(200, headers, new byte[0], TIMEOUT);
    }

    private static HttpHead head() {
        return HttpHead.of(Methods.GET, "/");
    }

    private static HttpHead head(String identity) {
        return head().with(IDENTITY, identity);
    }

    private void call(HttpHead head) throws CallFailedException {
        try (HttpCall call = mConnections.call(mPeer, Step.FORWARD, head)) {
            call.awaitResponse(TIMEOUT);
            call.readAll(TIMEOUT, 100);
        }
    }

    private Failure failure(HttpHead head) {
        try {
            call(head);
        } catch (CallFailedException e) {
            return e.failure();
        }
        throw new AssertionError("the call succeeded");
    }

    private long opened() {
        return mConnections.counters().openedCount();
    }

    @Test
    void callsWithIdentitiesOfTheirOwnShareAConnection() throws Exception {
        for (int i = 0; i < 10; i++) {
            call(head("call-" + i));
        }
        assertThat(opened()).isEqualTo(1);
        assertThat(mConnections.counters().reusedCount()).isEqualTo(9);
    }

    /** A late response to the first could not be told from that to the second. */
    @Test
    void callsWithTheSameIdentityShareNoConnection() throws Exception {
        call(head("a"));
        call(head("b"));
        call(head("a"));
        assertThat(opened()).isEqualTo(2);
        call(head("c"));
        assertThat(opened()).isEqualTo(2);
    }

    @Test
    void aCallWithoutIdentityHasAConnectionOfItsOwn() throws Exception {
        call(head("a"));
        call(head());
        call(head());
        assertThat(opened()).isEqualTo(3);
        call(head("b"));
        assertThat(opened()).isEqualTo(3);
    }

    @Test
    void aConnectionWhoseResponseHadNoIdentityIsNotKept() throws Exception {
        call(head("a").with(SENT_BACK, NOTHING));
        call(head("b"));
        assertThat(opened()).isEqualTo(2);
    }

    /** The call may have run, so its failure must not say that it has not. */
    @ParameterizedTest
    @CsvSource({"other, 0", "other, 1", "nothing, 1"})
    void aResponseOfAnotherCallIsRefused(String sentBack, int callsBefore) throws Exception {
        for (int i = 0; i < callsBefore; i++) {
            call(head("before-" + i));
        }
        Failure failure = failure(head("a").with(SENT_BACK, sentBack));
        assertThat(failure).isInstanceOf(Failure.Garbled.class);
        assertThat(failure.mayHaveRun()).isTrue();
        assertThat(mConnections.counters().surplusCount()).isEqualTo(1);
    }

    @Test
    void theKeptConnectionsOfAPeerThatSentASurplusAreOutOfUse() throws Exception {
        call(head("a"));
        failure(head("b").with(SENT_BACK, "other"));
        call(head("c"));
        call(head("d"));
        assertThat(opened()).isEqualTo(3);
    }

    /** Only so many identities are kept for a connection. */
    @Test
    void aConnectionServesABoundedNumberOfCalls() throws Exception {
        int calls = 300;
        for (int i : IntStream.range(0, calls).toArray()) {
            call(head("call-" + i));
        }
        assertThat(opened()).isEqualTo(2);
    }

    /** An upstream that started again or has gone is called no more, so nobody looks there. */
    @Test
    void whatIsKeptForPeersThatAreCalledNoMoreIsClosed() throws Exception {
        ManualClock clock = new ManualClock();
        try (StutteringUpstream gone =
                        new StutteringUpstream(
                                call ->
                                        StutteringUpstream.Answer.of(200, "")
                                                .with(
                                                        IDENTITY.toString(),
                                                        call.field(IDENTITY.toString())
                                                                .orElseThrow()));
                TestConnections connections = new TestConnections(TIMEOUT, clock)) {
            mConnections = connections.get();
            Peer live = mPeer;
            mPeer = new Peer("gone", "127.0.0.1", gone.port());
            call(head("a"));
            assertThat(gone.openCount()).isEqualTo(1);
            clock.advance(Duration.ofSeconds(6));
            mPeer = live;
            call(head("b"));
            Await.until("the connection is closed", TIMEOUT, () -> gone.openCount() == 0);
        }
    }
}
