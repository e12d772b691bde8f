/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.cluster;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.orchidmount.consensus.GroupState;
import org.orchidmount.membership.Registration;
import org.orchidmount.routes.CallerLimits;
import org.orchidmount.routes.ClientAccounts;
import org.orchidmount.routes.RouteTable;
import org.orchidmount.routes.Service;

/** Tests {@code ServiceGate}. */
final class ServiceGateTest {
    /** More than are kept. */
    private static final int MANY = 10_050;

    private final ServiceGate mGate =
            new ServiceGate(
                    document -> {
                        throw new IllegalArgumentException("unreadable");
                    });

    private static RouteTable table(long version, String service) {
        return new RouteTable(
                version,
                List.of(),
                Map.of(service, new Service(service, Optional.empty())),
                new CallerLimits(1, Duration.ofSeconds(1)),
                ClientAccounts.NONE);
    }

    private static Registration registration(String id, String service, long sequence) {
        return new Registration(
                id,
                service,
                "10.0.0.1:80",
                "a",
                1,
                Registration.Stage.NONE,
                Registration.State.READY,
                sequence);
    }

    @Test
    void whatWaitsIsReleasedOnceByTheTableThatNamesItsService() {
        mGate.holdBack(registration("i-1", "s", 1));
        mGate.holdBack(registration("i-1", "other", 900));
        mGate.holdBack(registration("i-1", "s", 2));
        assertThat(mGate.apply(table(3, "t"))).isEmpty();
        assertThat(mGate.apply(table(4, "s"))).containsExactly(registration("i-1", "s", 2));
        assertThat(mGate.isNamed("s")).isTrue();
        assertThat(mGate.isNamed("other")).isFalse();
        assertThat(mGate.apply(table(5, "s"))).isEmpty();
    }

    /** Tables are read on other threads, which may end in another order. */
    @Test
    void aTableThatWasReadLateChangesNothing() {
        mGate.holdBack(registration("i-1", "old", 1));
        assertThat(mGate.apply(table(4, "s"))).isEmpty();
        assertThat(mGate.apply(table(3, "old"))).isEmpty();
        assertThat(mGate.isNamed("s")).isTrue();
        assertThat(mGate.isNamed("old")).isFalse();
    }

    @Test
    void whatHasLeftNoLongerWaits() {
        mGate.holdBack(registration("i-1", "s", 1));
        mGate.holdBack(registration("i-2", "s", 1));
        mGate.remove("i-1");
        assertThat(mGate.apply(table(4, "s"))).containsExactly(registration("i-2", "s", 1));
    }

    @Test
    void thoseThatHaveWaitedLongestGiveWay() {
        for (int i = 0; i < MANY; i++) {
            mGate.holdBack(registration("i-" + i, "s", 1));
        }
        List<Registration> released = mGate.apply(table(4, "s"));
        assertThat(released).hasSize(10_000);
        assertThat(released.getLast()).isEqualTo(registration("i-" + (MANY - 1), "s", 1));
    }

    @Test
    void aTableThatCannotBeReadIsNone() {
        assertThat(mGate.parse(new GroupState(List.of(), 4, new byte[1]))).isEmpty();
        assertThat(mGate.parse(new GroupState(List.of(), 0, new byte[0]))).isEmpty();
    }
}
