/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.limits;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Range;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.orchidmount.limits.LocalLimits.Limit;
import org.orchidmount.table.AccountRow;

/** Tests {@link LocalLimits} and {@link TokenBucketRetryBudget}. */
class LocalLimitsTest {
    private static final long SECOND = 1_000_000_000L;

    @Test
    void holdsAllLimitsOrNone() {
        LocalLimits limits = new LocalLimits();
        List<Limit> both = List.of(new Limit("account a", 2), new Limit("pool p", 1));
        assertThat(limits.tryAcquire(both)).isEmpty();
        assertThat(limits.tryAcquire(both)).isEqualTo(Optional.of(new Limit("pool p", 1)));
        assertThat(limits.running("account a")).isEqualTo(1);
        limits.release(both);
        assertThat(limits.all()).isEmpty();
    }

    @Test
    void rateAllowsOneSecondAtOnceAndTellsWhenToComeBack() {
        LocalLimits limits = new LocalLimits();
        AccountRow account = new AccountRow("a", "0".repeat(64), "c", 1, 0, 4);
        for (int i = 0; i < 4; i++) {
            assertThat(limits.tryAcquireRate(account, 0)).isEqualTo(0);
        }
        assertThat(limits.tryAcquireRate(account, 0)).isEqualTo(250);
        assertThat(limits.tryAcquireRate(account, SECOND / 4)).isEqualTo(0);
        assertThat(limits.tryAcquireRate(account, SECOND / 4)).isEqualTo(250);
        assertThat(limits.tryAcquireRate(account, 100 * SECOND)).isEqualTo(0);
    }

    @ParameterizedTest
    @CsvSource({"0, 0", "10, 74", "100, 164"})
    void retriesAreBoundedByRequests(int percent, int expected) {
        TokenBucketRetryBudget budget = new TokenBucketRetryBudget(percent);
        int retries = 0;
        for (int i = 0; i < 100; i++) {
            budget.recordRequest();
            retries += budget.tryAcquire() ? 1 : 0;
        }
        for (int i = 0; i < 100; i++) {
            retries += budget.tryAcquire() ? 1 : 0;
        }
        assertThat(retries).isIn(Range.closed(expected * 9 / 10, expected));
    }
}
