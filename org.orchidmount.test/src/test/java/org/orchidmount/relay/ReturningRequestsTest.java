/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Tests {@code ReturningRequests}. */
final class ReturningRequestsTest {
    private final ReturningRequests mReturning = new ReturningRequests();

    @Test
    void whoWaitsClearlyLessThanTheOthersOfItsRouteHasComeBack() {
        assertThat(mReturning.isReturning("a", Duration.ofMillis(14_000))).isFalse();
        assertThat(mReturning.isReturning("a", Duration.ofMillis(13_990))).isFalse();
        assertThat(mReturning.isReturning("a", Duration.ofMillis(10_300))).isTrue();
        assertThat(mReturning.isReturning("a", Duration.ofMillis(14_000))).isFalse();
    }

    @Test
    void routesAreToldApart() {
        mReturning.isReturning("a", Duration.ofMillis(14_000));
        assertThat(mReturning.isReturning("b", Duration.ofMillis(3_000))).isFalse();
    }
}
