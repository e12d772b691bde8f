/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.quota;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests {@link QuotaReserve} and {@link LeaseHistory}: what a voter knows and may grant. */
final class QuotaReserveTest {
    private static final Duration WINDOW = Duration.ofSeconds(8);
    private static final QuotaLimit LIMIT = new QuotaLimit(1_000, 2_000, 2_000, WINDOW);
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final int VOTERS = 5;

    private static long takeAll(QuotaReserve reserve, String key, long nowNanos) {
        long taken = 0;
        while (reserve.ask(new QuotaRequest(key, LIMIT, 1, 10), VOTERS, nowNanos).isGranted()) {
            taken += 10;
        }
        return taken;
    }

    /** What a site tolerates is given out once: to three leases in a window and all reserves. */
    @Test
    void thePartsOfTheToleranceAreOneWhole() {
        double starts = QuotaTolerance.FIRST_LEASE_SHARE + 2 * QuotaTolerance.LATER_LEASE_SHARE;
        double atAllTimes = QuotaTolerance.CONSTANT_SHARE + QuotaTolerance.OVERDRAFT_SHARE;
        assertThat(starts + atAllTimes + QuotaTolerance.RESERVE_SHARE).isWithin(1e-9).of(1);
    }

    @Test
    void itGrantsItsPartOfTheReserveInAnyWindow() {
        QuotaReserve reserve = new QuotaReserve(true, 0);
        assertThat(takeAll(reserve, "a", SECOND)).isEqualTo(80);
        assertThat(takeAll(reserve, "b", SECOND)).isEqualTo(80);
        assertThat(takeAll(reserve, "a", 9 * SECOND)).isEqualTo(0);
        assertThat(takeAll(reserve, "a", 9 * SECOND + 1)).isEqualTo(80);
    }

    /** Nothing is known of what it granted before it started. */
    @Test
    void afterARestartItGrantsNothingForAWindow() {
        QuotaReserve reserve = new QuotaReserve(false, 0);
        assertThat(takeAll(reserve, "a", 8 * SECOND - 1)).isEqualTo(0);
        assertThat(takeAll(reserve, "a", 8 * SECOND)).isEqualTo(80);
    }

    @ParameterizedTest
    @CsvSource({
        // the lease seen at 10 s, and at 20 s, and since when there was one other at most
        "2, 2, 0",
        "2, 3, 10",
        "3, 3, 10",
        "2, 4, 20",
        "1, 1, 0",
        "1, 3, 20"
    })
    void aVoterKnowsOfLeasesThatItSawBegin(long first, long second, long formerSeconds) {
        LeaseHistory leases = new LeaseHistory(1, false, 0);
        leases.observe(first, 10 * SECOND);
        leases.observe(second, 20 * SECOND);
        assertThat(leases.previousLeaseNanos()).isEqualTo(formerSeconds * SECOND);
    }

    @Test
    void atTheFirstStartOfTheSiteNoLeaseWasMissed() {
        LeaseHistory leases = new LeaseHistory(0, true, SECOND);
        leases.observe(1, 2 * SECOND);
        assertThat(leases.previousLeaseNanos()).isLessThan(-1_000_000 * SECOND);
    }
}
