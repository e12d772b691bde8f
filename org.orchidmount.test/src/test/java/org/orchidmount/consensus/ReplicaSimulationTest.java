/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.consensus;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Drives the real replicas through schedules of faults drawn from seeds. */
final class ReplicaSimulationTest {
    private static final String SCHEDULES = "orchidmount.schedules";
    private static final long DEFAULT_SCHEDULES = 150;

    @Test
    void promisesHoldOnEverySchedule() {
        long schedules = Long.getLong(SCHEDULES, DEFAULT_SCHEDULES);
        for (long seed = 1; seed <= schedules; seed++) {
            try {
                assertThat(new SimulatedGroup(seed).run()).isGreaterThan(0);
            } catch (AssertionError | RuntimeException e) {
                assertWithMessage("seed %s: %s", seed, e).fail();
            }
        }
    }

    /** Seeds that failed once: each stays, with its cause in the commit that mended it. */
    @ParameterizedTest
    @ValueSource(longs = {5, 327, 1364, 12137})
    void seedsThatFailedOnceHold(long seed) {
        assertThat(new SimulatedGroup(seed).run()).isGreaterThan(0);
    }
}
