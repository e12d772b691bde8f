/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
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
}
