/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.retry;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.orchidmount.junit.ManualClock;
import org.orchidmount.retry.ArrivalHistory.Phase;
import org.orchidmount.retry.ArrivalHistory.Result;

/** Tests {@link RetryOwner} and its client, {@link ServiceRetries}. */
final class RetryOwnerTest {
    private static final RetryLimit LIMIT = new RetryLimit(0.2, Duration.ofSeconds(10), 40);
    private static final RetryOwner.Entries ENTRIES = new RetryOwner.Entries(4, 4);

    private final ManualClock mClock = new ManualClock();
    private final RetryOwner mOwner = new RetryOwner();

    private int grantAll(RetryOwner.Entries entries) {
        RetryRequest request = new RetryRequest("s", LIMIT, 0, 1);
        int granted = 0;
        while (mOwner.ask(request, entries, mClock.nanoTime()).outcome()
                == RetryAnswer.Outcome.GRANTED) {
            granted++;
        }
        return granted;
    }

    /** Guards against a slack that each new leader grants anew. */
    @Test
    void aLaterLeaseGrantsSlackOnceTheOneBeforeHasLeftTheWindow() {
        mOwner.hold(1, true, mClock.nanoTime());
        assertThat(grantAll(ENTRIES)).isEqualTo(40);
        mOwner.hold(2, false, mClock.nanoTime());
        assertThat(grantAll(ENTRIES)).isEqualTo(0);
        mClock.advance(LIMIT.window());
        assertThat(grantAll(ENTRIES)).isEqualTo(0);
        mClock.advance(RetryLimit.PERMIT_LIFETIME);
        assertThat(grantAll(ENTRIES)).isEqualTo(40);
    }

    /** Guards against a part of the slack that entries of an earlier build use as well. */
    @ParameterizedTest
    @CsvSource({"4, 4, 40", "4, 3, 30", "4, 0, 0"})
    void theSlackIsSharedWithEntriesThatDoNotAsk(int all, int supporting, int granted) {
        mOwner.hold(1, true, mClock.nanoTime());
        assertThat(grantAll(new RetryOwner.Entries(all, supporting))).isEqualTo(granted);
    }

    /** Guards against requests that cover retries long after they came. */
    @Test
    void theCreditOfRequestsExpires() {
        mOwner.hold(1, true, mClock.nanoTime());
        assertThat(grantAll(ENTRIES)).isEqualTo(40);
        mOwner.ask(new RetryRequest("s", LIMIT, 100, 0), ENTRIES, mClock.nanoTime());
        assertThat(grantAll(ENTRIES)).isEqualTo(18);
        mOwner.ask(new RetryRequest("s", LIMIT, 100, 0), ENTRIES, mClock.nanoTime());
        mClock.advance(RetryLimit.CREDIT_LIFETIME.plusMillis(20));
        assertThat(grantAll(ENTRIES)).isEqualTo(4);
    }

    /** Guards against requests that cover retries both at an entry and at the owner. */
    @Test
    void requestsThatCoverRetriesHereAreNotReported() throws InterruptedException {
        RetryBudgets budgets =
                new RetryBudgets(
                        LIMIT,
                        request -> CompletableFuture.completedFuture(RetryAnswer.UNSUPPORTED),
                        () -> 1,
                        mClock);
        for (int i = 0; i < 20; i++) {
            budgets.of("s").recordRequest();
        }
        assertThat(budgets.report("s").requests()).isEqualTo(20);
        assertThat(budgets.report("s").requests()).isEqualTo(0);
    }

    /** Guards against permits that are lost with requests which do not need them. */
    @Test
    void anUnusedPermitServesAnotherRequestUntilItExpires() throws InterruptedException {
        AtomicInteger asked = new AtomicInteger();
        ServiceRetries service =
                new RetryBudgets(
                                LIMIT,
                                _ ->
                                        CompletableFuture.completedFuture(
                                                asked.getAndIncrement() == 0
                                                        ? RetryAnswer.GRANTED
                                                        : RetryAnswer.NO_OWNER),
                                () -> 1,
                                mClock)
                        .of("s");
        try (RequestRetries first = new RequestRetries(service, mClock)) {
            first.ended(Phase.RUN, Result.REFUSED);
            assertThat(first.tryBegin(Phase.RUN)).isTrue();
        }
        try (RequestRetries second = new RequestRetries(service, mClock)) {
            second.ended(Phase.RUN, Result.REFUSED);
            assertThat(second.tryBegin(Phase.RUN)).isTrue();
        }
        mClock.advance(RetryLimit.PERMIT_LIFETIME);
        try (RequestRetries third = new RequestRetries(service, mClock)) {
            third.ended(Phase.RUN, Result.REFUSED);
            assertThat(third.tryBegin(Phase.RUN)).isFalse();
        }
    }

    /** Guards against an entry out of touch that sends retries no request covers. */
    @Test
    void anEntryWithoutOwnerSendsWhatItsRequestsCover() throws InterruptedException {
        CompletableFuture<RetryAnswer> noOwner =
                CompletableFuture.completedFuture(RetryAnswer.NO_OWNER);
        ServiceRetries retries = new RetryBudgets(LIMIT, _ -> noOwner, () -> 1, mClock).of("s");
        assertThat(retries.tryAcquire(1).isPresent()).isFalse();
        for (int i = 0; i < 20; i++) {
            retries.recordRequest();
        }
        int acquired = 0;
        while (retries.tryAcquire(1).isPresent()) {
            acquired++;
        }
        assertThat(acquired).isEqualTo(3);
        for (int i = 0; i < 20; i++) {
            retries.recordRequest();
        }
        mClock.advance(RetryLimit.MAX_CREDIT_AGE.plusMillis(20));
        assertThat(retries.tryAcquire(1).isPresent()).isFalse();
    }
}
