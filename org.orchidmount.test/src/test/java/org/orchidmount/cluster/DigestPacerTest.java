/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests {@code DigestPacer}. */
final class DigestPacerTest {
    private static final long START_NANOS = Long.MAX_VALUE - 5;

    @Test
    void theFirstDigestIsSentImmediately() {
        assertThat(new DigestPacer().delay(START_NANOS)).isEqualTo(Duration.ZERO);
    }

    /** Guards against digests of new failures that use up the bound of control traffic. */
    @ParameterizedTest
    @CsvSource({
        "0, 0, 20",
        "100, 0, 20",
        "100, 15, 5",
        "100, 20, 0",
        "100, 900, 0",
        "700, 0, 100",
        "7000, 0, 1000",
        "7000, 400, 600"
    })
    void aDigestDelaysTheNextByItsSize(int bytes, long passedMillis, long delayMillis) {
        DigestPacer pacer = new DigestPacer();
        pacer.sent(START_NANOS, bytes);
        assertThat(pacer.delay(START_NANOS + passedMillis * 1_000_000))
                .isEqualTo(Duration.ofMillis(delayMillis));
    }

    @Test
    void digestsAsOftenAsAllowedStayBelowTheBound() {
        DigestPacer pacer = new DigestPacer();
        long sentBytes = 0;
        for (long millis = 0; millis < 60_000; millis++) {
            if (pacer.delay(millis * 1_000_000).isZero()) {
                int bytes = 50 + (int) (millis % 6_000);
                pacer.sent(millis * 1_000_000, bytes);
                sentBytes += bytes;
            }
        }
        assertThat(sentBytes).isAtMost(7_000L * 60 + 6_050);
        assertThat(sentBytes).isAtLeast(5_000L * 60);
    }
}
