/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.waiting;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.orchidmount.junit.ManualClock;

/** The requests that wait are known while they are announced. */
final class WaitingRequestsTest {
    private final ManualClock mClock = new ManualClock();
    private final WaitingRequests mRequests = new WaitingRequests(mClock);

    private void announce(String id, String service, long waitedMillis, boolean ended) {
        mRequests.onWaiting(
                List.of(
                        new WaitingRequest(
                                id,
                                service,
                                "x",
                                0,
                                5_000,
                                4_900,
                                waitedMillis,
                                800 - waitedMillis,
                                ended)));
    }

    /** Guards against requests of an entry that has stopped and against lost ones. */
    @ParameterizedTest
    @CsvSource({"0, 1", "600, 1", "699, 1", "701, 0"})
    void aRequestCountsUntilItIsNoLongerAnnounced(long millis, int expected) {
        announce("a", "s", 0, false);
        mClock.advance(Duration.ofMillis(millis));
        assertThat(mRequests.waiting("s")).hasSize(expected);
    }

    @Test
    void timesGoOnBetweenAnnouncements() {
        announce("a", "s", 100, false);
        announce("b", "t", 0, false);
        mClock.advance(Duration.ofMillis(200));
        WaitingRequest request = mRequests.waiting("s").getFirst();
        assertThat(request.waitedMillis()).isEqualTo(300);
        assertThat(request.remainingMillis()).isEqualTo(500);
    }

    /** Guards against a late announcement over another path that revives an ended request. */
    @Test
    void anEndedRequestIsNotRevivedButItsRetryCounts() {
        announce("a", "s", 100, false);
        mClock.advance(Duration.ofMillis(100));
        announce("a", "s", 200, true);
        mClock.advance(Duration.ofMillis(20));
        announce("a", "s", 190, false);
        assertThat(mRequests.waiting("s")).isEmpty();
        mClock.advance(Duration.ofMillis(200));
        announce("a", "s", 0, false);
        assertThat(mRequests.waiting("s")).hasSize(1);
    }

    /** Guards against memory that grows without bound. */
    @Test
    void theNumberOfRequestsIsBounded() {
        for (int i = 0; i < 20_000; i++) {
            announce("r" + i, "s", 0, false);
        }
        assertThat(mRequests.waiting("s")).hasSize(16_384);
        assertThat(mRequests.dropped()).isEqualTo(20_000 - 16_384);
        mClock.advance(Duration.ofMillis(701));
        announce("new", "s", 0, false);
        assertThat(mRequests.waiting("s")).hasSize(1);
    }

    /** Guards against a waiting request that sleeps on while another one leaves. */
    @Test
    void anEndWakesThoseThatWait() throws InterruptedException {
        announce("a", "s", 0, false);
        long changes = mRequests.changes();
        CountDownLatch woken = new CountDownLatch(1);
        Thread waiter =
                Thread.ofVirtual()
                        .start(
                                () -> {
                                    try {
                                        mRequests.awaitChange(changes, Duration.ofSeconds(30));
                                        woken.countDown();
                                    } catch (InterruptedException e) {
                                        Thread.currentThread().interrupt();
                                    }
                                });
        announce("a", "s", 50, true);
        assertThat(woken.await(10, TimeUnit.SECONDS)).isTrue();
        waiter.join();
    }

    /** Guards against an end that is missed because it comes before the wait begins. */
    @Test
    void aChangeBeforeTheWaitIsNotMissed() throws InterruptedException {
        long changes = mRequests.changes();
        mRequests.changed();
        mRequests.awaitChange(changes, Duration.ofDays(1));
        assertThat(mRequests.changes()).isEqualTo(changes + 1);
    }
}
