/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.internal.http;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests how long the kept connections of a peer stay out of use. */
final class ReuseSuspensionsTest {
    private static final Peer STUTTERS = new Peer("a", "127.0.0.1", 1);
    private static final Peer OTHER = new Peer("b", "127.0.0.1", 2);

    private final ReuseSuspensions mSuspensions = new ReuseSuspensions();

    /** Near the end of its range, so that times wrap around. */
    private long mNowNanos = Long.MAX_VALUE - Duration.ofSeconds(1).toNanos();

    private void advance(Duration time) {
        mNowNanos += time.toNanos();
    }

    private boolean isSuspended(Peer peer) {
        return mSuspensions.isSuspended(peer, mNowNanos);
    }

    @Test
    void aSuspensionEnds() {
        mSuspensions.suspend(STUTTERS, mNowNanos);
        advance(Duration.ofMillis(1_999));
        assertThat(isSuspended(STUTTERS)).isTrue();
        assertThat(isSuspended(OTHER)).isFalse();
        advance(Duration.ofMillis(1));
        assertThat(isSuspended(STUTTERS)).isFalse();
    }

    /** Several responses of one stutter are one reason, not many. */
    @Test
    void aSecondResponseMeanwhileDoesNotProlongASuspension() {
        mSuspensions.suspend(STUTTERS, mNowNanos);
        advance(Duration.ofSeconds(1));
        mSuspensions.suspend(STUTTERS, mNowNanos);
        advance(Duration.ofSeconds(1));
        assertThat(isSuspended(STUTTERS)).isFalse();
    }

    /** Each suspension that follows soon is twice as long, up to 32 s. */
    @ParameterizedTest
    @CsvSource({"0, 2", "1, 4", "2, 8", "4, 32", "5, 32", "9, 32"})
    void aPeerThatGoesOnIsSuspendedForLonger(int before, int seconds) {
        for (int i = 0; i < before; i++) {
            mSuspensions.suspend(STUTTERS, mNowNanos);
            while (isSuspended(STUTTERS)) {
                advance(Duration.ofSeconds(1));
            }
        }
        mSuspensions.suspend(STUTTERS, mNowNanos);
        advance(Duration.ofSeconds(seconds).minusNanos(1));
        assertThat(isSuspended(STUTTERS)).isTrue();
        advance(Duration.ofNanos(1));
        assertThat(isSuspended(STUTTERS)).isFalse();
    }

    @Test
    void aPeerThatWasWellForAsLongBeginsAnew() {
        mSuspensions.suspend(STUTTERS, mNowNanos);
        advance(Duration.ofSeconds(4));
        mSuspensions.suspend(STUTTERS, mNowNanos);
        advance(Duration.ofSeconds(2));
        assertThat(isSuspended(STUTTERS)).isFalse();
    }
}
