/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.quota;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.orchidmount.quota.QuotaAnswer.Outcome;

/** Tests {@link QuotaOwner}: one bucket, seen from the questions that it is asked. */
final class QuotaOwnerTest {
    private static final Duration WINDOW = Duration.ofSeconds(8);
    private static final QuotaLimit LIMIT = new QuotaLimit(1_000, 2_000, 2_000, WINDOW);
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    /** Long after the lease began, so that buckets are full. */
    private static final long START = 100 * SECOND;

    private final QuotaOwner mOwner = new QuotaOwner();

    private QuotaAnswer ask(long units, long nowNanos) {
        return mOwner.ask(new QuotaRequest("a", LIMIT, 1, units), nowNanos);
    }

    @Test
    void aFullBucketHoldsTheBurstAndFillsAtTheRate() {
        mOwner.hold(1, 0, 0);
        assertThat(ask(2_000, START).isGranted()).isTrue();
        assertThat(ask(1, START).outcome()).isEqualTo(Outcome.EXCEEDED);
        assertThat(ask(500, START + SECOND).isGranted()).isTrue();
        assertThat(ask(500, START + SECOND).isGranted()).isTrue();
        assertThat(ask(1, START + SECOND).outcome()).isEqualTo(Outcome.EXCEEDED);
    }

    /**
     * Steady demand of three times the limit, small and large requests mixed: both get the share of
     * their demand that the limit has room for, and all of the limit is used.
     */
    @Test
    void underOverloadLargeRequestsAreGrantedAsOftenAsSmallOnes() {
        mOwner.hold(1, 0, 0);
        SplittableRandom random = new SplittableRandom(11);
        int seconds = 200;
        long[] asked = new long[2];
        long[] granted = new long[2];
        for (int i = 0; i < 5 * seconds; i++) {
            int large = random.nextInt(2);
            long units = large == 1 ? 1_000 : 200;
            asked[large]++;
            long nowNanos = START + i * SECOND / 5;
            granted[large] += ask(units, nowNanos).isGranted() ? 1 : 0;
        }
        double largeShare = (double) granted[1] / asked[1];
        double smallShare = (double) granted[0] / asked[0];
        assertThat(largeShare).isWithin(0.05).of(smallShare);
        double used = (granted[1] * 1_000 + granted[0] * 200) / (1_000.0 * seconds + 2_000);
        assertWithMessage("share of the limit").that(used).isWithin(0.03).of(1);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 3, 17})
    void noWindowHoldsMoreThanRateAndBurstAndOneRequest(long seed) {
        mOwner.hold(1, 0, 0);
        SplittableRandom random = new SplittableRandom(seed);
        WindowSum window = new WindowSum(WINDOW);
        long nowNanos = START;
        for (int i = 0; i < 20_000; i++) {
            nowNanos += random.nextLong(SECOND / 100);
            long units = 1 + random.nextInt(500);
            if (ask(units, nowNanos).isGranted()) {
                window.add(units, nowNanos);
            }
        }
        assertThat(window.most()).isAtMost(8 * 1_000 + 2_000 + 500);
    }

    @Test
    void theTimeToComeBackIsWhenThereIsRoomOneAfterTheOther() {
        mOwner.hold(1, 0, 0);
        ask(2_000, START);
        Duration first = ask(500, START).retryAfter();
        Duration second = ask(500, START).retryAfter();
        assertThat(first).isEqualTo(Duration.ofMillis(500));
        assertThat(second).isEqualTo(Duration.ofMillis(1_000));
        assertThat(ask(500, START + first.toNanos()).isGranted()).isTrue();
    }

    @Test
    void whatIsGivenBackCanBeUsedAgain() {
        mOwner.hold(1, 0, 0);
        ask(2_000, START);
        mOwner.refund("a", 2_000, START);
        assertThat(ask(2_000, START).isGranted()).isTrue();
        mOwner.refund("a", 9_000, START);
        assertThat(ask(2_000, START).isGranted()).isTrue();
        assertThat(ask(1, START).isGranted()).isFalse();
    }

    @Test
    void aRequestThatTheLimitNeverHoldsIsToldSo() {
        mOwner.hold(1, 0, 0);
        long never = (long) (LIMIT.burst() + LIMIT.tolerance()) + 1;
        assertThat(ask(never, START).outcome()).isEqualTo(Outcome.TOO_LARGE);
        assertThat(ask(never - 1, START).isGranted()).isTrue();
    }

    /** Nothing is known of what the owner before granted, so a lease begins with little. */
    @ParameterizedTest
    @CsvSource({
        // seconds since the lease before the last one, share of the tolerance
        "8, 0.3",
        "100, 0.3",
        "7.9, 0.05",
        "0, 0.05"
    })
    void aNewLeaseBeginsWithAPartOfTheTolerance(double sinceSeconds, double share) {
        mOwner.hold(1, 0, 0);
        ask(1, START);
        mOwner.hold(2, START - (long) (sinceSeconds * SECOND), START);
        long most = Math.round(share * LIMIT.tolerance());
        assertThat(ask(most, START).isGranted()).isTrue();
        assertThat(ask(1, START).isGranted()).isFalse();
        mOwner.hold(2, START, START + 3 * SECOND);
        assertThat(ask(2_000, START + 3 * SECOND).isGranted()).isTrue();
    }

    @Test
    void theNewestTableCountsAlsoForInstancesThatAreBehind() {
        mOwner.hold(1, 0, 0);
        QuotaLimit lower = new QuotaLimit(100, 200, 2_000, WINDOW);
        mOwner.ask(new QuotaRequest("a", lower, 2, 200), START);
        assertThat(ask(1, START + SECOND / 1_000).isGranted()).isTrue();
        assertThat(ask(1, START + SECOND / 1_000).isGranted()).isFalse();
        assertThat(ask(150, START + 2 * SECOND).isGranted()).isTrue();
        assertThat(ask(150, START + 2 * SECOND).isGranted()).isTrue();
        assertThat(ask(1, START + 2 * SECOND).isGranted()).isFalse();
    }

    @Test
    void onlyKeysThatWereRefusedAreReported() {
        mOwner.hold(1, 0, 0);
        ask(2_000, START);
        mOwner.ask(new QuotaRequest("b", LIMIT, 1, 5), START);
        assertThat(mOwner.drainUses()).isEmpty();
        ask(7, START);
        assertThat(mOwner.drainUses()).containsExactly(new QuotaUse("a", LIMIT, 1, 0, 0, 1));
        assertThat(mOwner.drainUses()).isEmpty();
    }

    /** Keys come and go with tables; an owner that lives long must not keep them all. */
    @Test
    void whoAsksAgainAfterManyOthersFindsAFullBucket() {
        mOwner.hold(1, 0, 0);
        ask(2_000, START);
        for (int i = 0; i < 10_000; i++) {
            mOwner.ask(new QuotaRequest("k" + i, LIMIT, 1, 1), START + 60 * SECOND);
        }
        assertThat(ask(2_000, START + 60 * SECOND).isGranted()).isTrue();
        assertThat(ask(1, START + 60 * SECOND).isGranted()).isFalse();
    }
}
