/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.quota;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.orchidmount.quota.SimulatedSite.Fault;

/**
 * No window of any schedule of faults holds more than a site allows, summed over all instances, in
 * touch or not; and a mechanism with one part broken is caught. The load is an account that sends
 * several times its limit, most of it to few of 42 instances. {@code -Dorchidmount.schedules=N}
 * plays more schedules than CI does.
 */
final class QuotaSimulationTest {
    private static final int ENTRIES = 42;
    private static final int SCHEDULES = Integer.getInteger("orchidmount.schedules", 400);

    @Test
    void noWindowHoldsMoreThanTheSiteAllows() {
        for (long seed = 1; seed <= SCHEDULES; seed++) {
            SimulatedSite site = new SimulatedSite(seed, ENTRIES, Fault.NONE);
            long most = site.play();
            assertWithMessage("seed %s", seed).that((double) most).isAtMost(SimulatedSite.ALLOWED);
            assertWithMessage("seed %s", seed).that(site.overload()).isGreaterThan(2.0);
        }
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void aBrokenPartIsCaught(Fault fault) {
        int caught = 0;
        for (long seed = 1; seed <= 100; seed++) {
            long most = new SimulatedSite(seed, ENTRIES, fault).play();
            caught += most > SimulatedSite.ALLOWED ? 1 : 0;
        }
        assertThat(caught).isGreaterThan(0);
    }
}
