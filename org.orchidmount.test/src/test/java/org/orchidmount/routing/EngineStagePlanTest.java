/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.orchidmount.membership.Registration;
import org.orchidmount.membership.Registration.Stage;
import org.orchidmount.membership.Registration.State;

/** Tests {@code EngineStagePlan}. */
final class EngineStagePlanTest {
    private final EngineStagePlan mPlan = new EngineStagePlan(0.33);

    @Test
    void anEngineTooManyReadsPrompts() {
        EngineStagePlan.Change change = mPlan.next(engines(3, 3)).get();
        assertThat(change.engine().stage()).isEqualTo(Stage.PREFILL);
        assertThat(change.stage()).isEqualTo(Stage.DECODE);
    }

    @Test
    void anEngineTooFewReadsPrompts() {
        assertThat(mPlan.next(engines(1, 5)).get().stage()).isEqualTo(Stage.PREFILL);
    }

    @Test
    void theRightShareStays() {
        assertThat(mPlan.next(engines(2, 4))).isEmpty();
        assertThat(mPlan.next(engines(8, 16))).isEmpty();
        assertThat(mPlan.next(engines(1, 1))).isEmpty();
    }

    @Test
    void theLossOfAnEngineDoesNotTakeAnotherOneFromTheAnswers() {
        assertThat(mPlan.next(engines(1, 4))).isEmpty();
        assertThat(mPlan.next(engines(1, 3))).isEmpty();
        assertThat(mPlan.next(engines(0, 5)).get().stage()).isEqualTo(Stage.PREFILL);
    }

    @Test
    void plainServicesAreNoEngines() {
        List<Registration> plain = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            plain.add(registration("p-" + i, Stage.NONE));
        }
        assertThat(mPlan.next(plain)).isEmpty();
    }

    private static List<Registration> engines(int prefill, int decode) {
        List<Registration> engines = new ArrayList<>();
        for (int i = 0; i < prefill; i++) {
            engines.add(registration("p-" + i, Stage.PREFILL));
        }
        for (int i = 0; i < decode; i++) {
            engines.add(registration("d-" + i, Stage.DECODE));
        }
        return engines;
    }

    private static Registration registration(String id, Stage stage) {
        return new Registration(id, "s", "10.0.0.9:80", "a", 4, stage, State.READY, 1);
    }
}
