/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.limits;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.orchidmount.junit.ManualClock;

/** Tests {@link WindowRetryBudget}. */
final class WindowRetryBudgetTest {
    private static final long SECOND = 1_000_000_000L;

    private final Map<String, WindowRetryBudget> mBudgets = new HashMap<>();
    private final ManualClock mClock = new ManualClock();
    private int mInstances;

    @Test
    void slackIsDividedOverInstances() {
        assertThat(takeAll("s", 10, SECOND)).isEqualTo(3);
        assertThat(takeAll("t", 1, SECOND)).isEqualTo(30);
    }

    @Test
    void requestsEarnTheirShare() {
        mClock.advance(Duration.ofSeconds(1));
        for (int i = 0; i < 100; i++) {
            budget("s").recordRequest();
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

    @Test
    void whatIsGivenBackCanBeTakenAgain() {
        assertThat(takeAll("s", 1, SECOND)).isEqualTo(30);
        budget("s").refund();
        assertThat(takeAll("s", 1, SECOND)).isEqualTo(1);
        budget("t").refund();
        assertThat(takeAll("t", 1, SECOND)).isEqualTo(30);
    }

    private int takeAll(String service, int instances, long nowNanos) {
        mInstances = instances;
        mClock.advance(Duration.ofNanos(nowNanos - mClock.nanoTime()));
        int taken = 0;
        while (budget(service).tryAcquire()) {
            taken++;
        }
        return taken;
    }

    private WindowRetryBudget budget(String service) {
        WindowRetryBudget.Limit limit =
                new WindowRetryBudget.Limit(0.2, Duration.ofSeconds(10), 40);
        return mBudgets.computeIfAbsent(
                service, name -> new WindowRetryBudget(limit, () -> mInstances, mClock));
    }
}
