/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.orchidmount.junit.ManualClock;

/** Tests {@code ClientRetryDetector}. */
final class ClientRetryDetectorTest {
    private final ManualClock mClock = new ManualClock();
    private final ClientRetryDetector mDetector = new ClientRetryDetector(mClock);

    @Test
    void aClientThatWaitsClearlyLessThanOthersOfItsRouteRetries() {
        assertThat(mDetector.isRetry("a", Duration.ofMillis(14_000))).isFalse();
        assertThat(mDetector.isRetry("a", Duration.ofMillis(13_990))).isFalse();
        assertThat(mDetector.isRetry("a", Duration.ofMillis(10_300))).isTrue();
        assertThat(mDetector.isRetry("a", Duration.ofMillis(14_000))).isFalse();
    }

    @Test
    void routesAreKeptApart() {
        mDetector.isRetry("a", Duration.ofMillis(14_000));
        assertThat(mDetector.isRetry("b", Duration.ofMillis(3_000))).isFalse();
    }

    @Test
    void oneClientWithALongWaitDoesNotMakeAllLaterOnesRetries() {
        mDetector.isRetry("a", Duration.ofMinutes(5));
        mClock.advance(Duration.ofMinutes(30));
        mDetector.isRetry("a", Duration.ofMillis(14_000));
        mClock.advance(Duration.ofMinutes(30));
        assertThat(mDetector.isRetry("a", Duration.ofMillis(14_000))).isFalse();
        assertThat(mDetector.isRetry("a", Duration.ofMillis(10_300))).isTrue();
    }

    /**
     * Callers of differing patience: the waits of new requests spread by 15 in 100 around 14 s, and
     * every fifth was refused 3.6 to 5.7 s ago. Few of the new ones are taken for retries, and most
     * of the retries for what they are.
     */
    @ParameterizedTest
    @CsvSource({"0, 0, 1", "0.05, 0.02, 0.95", "0.15, 0.06, 0.6", "0.25, 0.08, 0.3"})
    void callersOfDifferingPatienceAreToldFromRetries(
            double spread, double mostFalse, double leastFound) {
        Random random = new Random(7);
        int[] judged = new int[2];
        int[] taken = new int[2];
        for (int i = 0; i < 5_000; i++) {
            int retry = i % 5 == 4 ? 1 : 0;
            double waitMillis = 14_000 * Math.exp(spread * random.nextGaussian());
            waitMillis -= retry * (3_600 + 2_100 * random.nextDouble());
            judged[retry]++;
            taken[retry] += mDetector.isRetry("a", Duration.ofMillis((long) waitMillis)) ? 1 : 0;
        }
        assertThat((double) taken[0] / judged[0]).isAtMost(mostFalse);
        assertThat((double) taken[1] / judged[1]).isAtLeast(leastFound);
    }

    /** When everything was refused, most of what comes are retries, and stay so. */
    @Test
    void aFloodOfRetriesDoesNotPassForNewRequests() {
        for (int i = 0; i < 64; i++) {
            mDetector.isRetry("a", Duration.ofMillis(14_000));
        }
        for (int i = 0; i < 60; i++) {
            assertThat(mDetector.isRetry("a", Duration.ofMillis(9_000 + i))).isTrue();
        }
        assertThat(mDetector.isRetry("a", Duration.ofMillis(14_000))).isFalse();
    }

    @Test
    void callersThatAllWaitLessFromNowOnAreNewRequests() {
        mDetector.isRetry("a", Duration.ofMillis(14_000));
        for (int i = 0; i < 65; i++) {
            mDetector.isRetry("a", Duration.ofMillis(5_000));
        }
        assertThat(mDetector.isRetry("a", Duration.ofMillis(5_000))).isFalse();
    }
}
