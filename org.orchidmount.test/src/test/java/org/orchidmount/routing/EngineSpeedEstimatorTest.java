/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests {@code EngineSpeedEstimator}. */
final class EngineSpeedEstimatorTest {
    private final EngineSpeedEstimator mEstimator = new EngineSpeedEstimator();

    @ParameterizedTest
    @ValueSource(doubles = {5, 20, 100})
    void theFirstObservationsReplaceThePrior(double tookMillis) {
        for (int i = 0; i < 12; i++) {
            mEstimator.observePrefill(1_000, tookMillis);
        }
        EngineSpeed speed = mEstimator.speed();
        assertThat(speed.prefillEngineMillis(1_000)).isWithin(0.4 * tookMillis).of(tookMillis);
        double decodeMillis = speed.decodeEngineMillis(1_000);
        assertThat(decodeMillis).isWithin(0.4 * 2 * tookMillis).of(2 * tookMillis);
    }

    /** After a start the queues of others are not known, so one slow prefill says little. */
    @Test
    void oneLongQueueAfterTheStartIsNotTakenForTheSpeed() {
        mEstimator.observePrefill(1_000, 1_500);
        assertThat(mEstimator.speed().prefillEngineMillis(1_000)).isLessThan(45.0);
    }

    @Test
    void aFewSlowEnginesHardlyMoveIt() {
        for (int i = 0; i < 200; i++) {
            mEstimator.observePrefill(1_000, i % 10 == 0 ? 900 : 100);
        }
        assertThat(mEstimator.speed().prefillEngineMillis(1_000)).isWithin(20).of(107);
    }

    @Test
    void aLastingChangeIsFollowed() {
        for (int i = 0; i < 40; i++) {
            mEstimator.observeOutput(600, 3_000);
        }
        for (int i = 0; i < 60; i++) {
            mEstimator.observeOutput(600, 9_000);
        }
        assertThat(mEstimator.speed().outputMillis()).isWithin(400).of(9_000);
    }

    /** Guards against a decision that rests on the prior. */
    @Test
    void theSpeedIsMeasuredOnceAnOutputWas() {
        mEstimator.observePrefill(1_000, 20);
        mEstimator.observeFirstToken(90);
        mEstimator.observeOutput(0, 3_000);
        assertThat(mEstimator.measuredSpeed()).isEmpty();
        mEstimator.observeOutput(600, 3_000);
        EngineSpeed measured = mEstimator.measuredSpeed().orElseThrow();
        assertThat(measured.outputTokensPerMilli()).isWithin(1e-9).of(0.2);
        assertThat(measured.withOutputPace(1)).isEqualTo(mEstimator.speed().withOutputPace(1));
    }

    /** Guards against a decision that waits for the first complete output. */
    @Test
    void theSpeedOfOutputsUnderWayCountsUntilOneIsComplete() {
        mEstimator.observeOutputUnderWay(0, 100);
        assertThat(mEstimator.measuredSpeed()).isEmpty();
        mEstimator.observeOutputUnderWay(60, 600);
        mEstimator.observeOutputUnderWay(60, 600);
        assertThat(mEstimator.measuredSpeed().orElseThrow().outputTokensPerMilli())
                .isWithin(1e-9)
                .of(0.1);
        mEstimator.observeOutput(600, 3_000);
        assertThat(mEstimator.measuredSpeed().orElseThrow().outputTokensPerMilli())
                .isWithin(1e-9)
                .of(0.2);
    }

    @Test
    void whatCannotBeMeasuredIsLeftOut() {
        EngineSpeed before = mEstimator.speed();
        mEstimator.observePrefill(0, 100);
        mEstimator.observePrefill(100, 0);
        mEstimator.observeOutput(9, 0);
        assertThat(mEstimator.speed()).isEqualTo(before);
    }
}
