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
import org.orchidmount.limits.LimitBook.Limit;
import org.orchidmount.table.AccountRow;

/** Tests {@link LimitBook} and {@link TokenBucketRetryBudget}. */
class LimitBookTest {
    private static final long SECOND = 1_000_000_000L;

    @Test
    void holdsAllLimitsOrNone() {
        LimitBook book = new LimitBook();
        List<Limit> both = List.of(new Limit("account a", 2), new Limit("pool p", 1));
        assertThat(book.tryHold(both)).isEmpty();
        assertThat(book.tryHold(both)).isEqualTo(Optional.of(new Limit("pool p", 1)));
        assertThat(book.running("account a")).isEqualTo(1);
        book.release(both);
        assertThat(book.all()).isEmpty();
    }

    @Test
    void rateAllowsOneSecondAtOnceAndTellsWhenToComeBack() {
        LimitBook book = new LimitBook();
        AccountRow account = new AccountRow("a", "0".repeat(64), "c", 1, 0, 4);
        for (int i = 0; i < 4; i++) {
            assertThat(book.takeRate(account, 0)).isEqualTo(0);
        }
        assertThat(book.takeRate(account, 0)).isEqualTo(250);
        assertThat(book.takeRate(account, SECOND / 4)).isEqualTo(0);
        assertThat(book.takeRate(account, SECOND / 4)).isEqualTo(250);
        assertThat(book.takeRate(account, 100 * SECOND)).isEqualTo(0);
    }

    @ParameterizedTest
    @CsvSource({"0, 0", "10, 74", "100, 164"})
    void retriesAreBoundedByRequests(int percent, int expected) {
        TokenBucketRetryBudget budget = new TokenBucketRetryBudget(percent);
        int retries = 0;
        for (int i = 0; i < 100; i++) {
            budget.countRequest();
            retries += budget.tryTake() ? 1 : 0;
        }
        for (int i = 0; i < 100; i++) {
            retries += budget.tryTake() ? 1 : 0;
        }
        assertThat(retries).isIn(Range.closed(expected * 9 / 10, expected));
    }
}
