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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.orchidmount.membership.Registration;
import org.orchidmount.membership.Registration.Stage;
import org.orchidmount.membership.Registration.State;

/** Tests {@code EngineStagePlan}. */
final class EngineStagePlanTest {
    private final EngineStagePlan mPlan = new EngineStagePlan(0.33);

    @Test
    void anEngineTooManyReadsPrompts() {
        EngineStagePlan.Change change = mPlan.next(engines(3, 3), List.of()).get();
        assertThat(change.engine().stage()).isEqualTo(Stage.PREFILL);
        assertThat(change.stage()).isEqualTo(Stage.DECODE);
    }

    @Test
    void anEngineTooFewReadsPrompts() {
        assertThat(mPlan.next(engines(1, 5), List.of()).get().stage()).isEqualTo(Stage.PREFILL);
    }

    @Test
    void theRightShareStays() {
        assertThat(mPlan.next(engines(2, 4), List.of())).isEmpty();
        assertThat(mPlan.next(engines(8, 16), List.of())).isEmpty();
        assertThat(mPlan.next(engines(1, 1), List.of())).isEmpty();
    }

    @Test
    void theLossOfAnEngineDoesNotTakeAnotherOneFromTheAnswers() {
        assertThat(mPlan.next(engines(1, 4), List.of())).isEmpty();
        assertThat(mPlan.next(engines(1, 3), List.of())).isEmpty();
        assertThat(mPlan.next(engines(0, 5), List.of()).get().stage()).isEqualTo(Stage.PREFILL);
    }

    /**
     * Six engines, two of which prefill; one fell silent. Two that were crashed and one that was
     * changed meanwhile left one engine in six without work for most of a burst.
     */
    @ParameterizedTest
    @EnumSource(names = {"PREFILL", "DECODE"})
    void anEngineThatIsExpectedBackCounts(Stage lost) {
        List<Registration> current = engines(lost == Stage.PREFILL ? 1 : 2, 3);
        if (lost == Stage.PREFILL) {
            current.add(registration("d-3", Stage.DECODE));
        }
        Registration silent = registration("gone", lost, "10.0.0.77:80");
        assertThat(mPlan.next(current, List.of(silent))).isEmpty();
    }

    @Test
    void anEngineThatIsBackUnderAnotherIdentityCountsOnce() {
        Registration before = registration("before", Stage.PREFILL, "10.0.0.9:80");
        assertThat(mPlan.next(engines(2, 4), List.of(before))).isEmpty();
    }

    @Test
    void aStageWithoutAnyEngineIsNotLeftWaiting() {
        Registration silent = registration("gone", Stage.PREFILL, "10.0.0.77:80");
        assertThat(mPlan.next(engines(0, 5), List.of(silent)).get().stage())
                .isEqualTo(Stage.PREFILL);
    }

    /** With a third for prefill, 2 of 5 are less than one too many, 3 of 5 more. */
    @ParameterizedTest
    @CsvSource({
        "2, 3, false",
        "1, 4, false",
        "1, 8, true",
        "3, 2, true",
        "3, 3, true",
        "2, 1, true"
    })
    void aChangeIsWorthAWholeEngine(int prefill, int decode, boolean changes) {
        assertThat(mPlan.next(engines(prefill, decode), List.of()).isPresent()).isEqualTo(changes);
    }

    @Test
    void plainServicesAreNoEngines() {
        List<Registration> plain = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            plain.add(registration("p-" + i, Stage.NONE));
        }
        assertThat(mPlan.next(plain, List.of())).isEmpty();
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
        return registration(id, stage, "10.0.0.9:80");
    }

    private static Registration registration(String id, Stage stage, String address) {
        return new Registration(id, "s", address, "a", 4, stage, State.READY, 1);
    }
}
