/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Tests {@code ExtraAttempts}. */
final class ExtraAttemptsTest {
    private static final long SECOND = 1_000_000_000L;
    private final ExtraAttempts mExtras =
            new ExtraAttempts(new Relay.RetryLimit(0.2, Duration.ofSeconds(10), 40));

    @Test
    void slackIsDividedOverInstances() {
        assertThat(takeAll("s", 10, SECOND)).isEqualTo(3);
        assertThat(takeAll("t", 1, SECOND)).isEqualTo(30);
    }

    @Test
    void requestsEarnTheirShare() {
        for (int i = 0; i < 100; i++) {
            mExtras.request("s", SECOND);
        }
        assertThat(takeAll("s", 10, SECOND)).isEqualTo(18);
    }

    @Test
    void anyWindowKeepsTheLimit() {
        int taken = 0;
        for (long time = 0; time < 10 * SECOND; time += SECOND / 4) {
            taken += takeAll("s", 1, time);
        }
        assertThat(taken).isEqualTo(30);
        assertThat(takeAll("s", 1, 25 * SECOND)).isEqualTo(30);
    }

    private int takeAll(String service, int entries, long nowNanos) {
        int taken = 0;
        while (mExtras.take(service, entries, nowNanos)) {
            taken++;
        }
        return taken;
    }
}
