/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.junit;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests {@link FakeModel}. */
class FakeModelTest {
    @ParameterizedTest
    @CsvSource({
        "order, 5, 0",
        "order, 5, 1",
        "order, 5, 4",
        "order w1.abcdef, 5, 2",
        "[answer-length 3] x, 3, 2"
    })
    void continuedAnswerIsTheSame(String prompt, int tokens, int given) {
        String whole = FakeModel.answer(prompt, tokens);
        String start = FakeModel.answer(prompt, given);
        assertThat(start + FakeModel.answer(prompt + start, tokens - given)).isEqualTo(whole);
    }

    @ParameterizedTest
    @CsvSource({
        "[answer-length 3], 10, 3, true",
        "[answer-length 3], 2, 2, false",
        "x, 4, 4, false"
    })
    void answerEndsByItselfOrAtTheLimit(String prompt, int most, int count, boolean natural) {
        FakeModel.Plan plan = FakeModel.plan(prompt, most);
        assertThat(plan.count()).isEqualTo(count);
        assertThat(plan.natural()).isEqualTo(natural);
    }
}
