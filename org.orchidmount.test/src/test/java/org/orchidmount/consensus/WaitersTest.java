/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.consensus;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests {@code Waiters}. */
final class WaitersTest {
    private final Waiters<Integer> mWaiters = new Waiters<>();
    private final List<String> mAnswers = new ArrayList<>();

    private void add(int goal) {
        mWaiters.add(goal, isReached -> mAnswers.add(goal + " " + isReached));
    }

    @Test
    void eachIsAnsweredOnceInTheOrderOfItsWait() {
        add(2);
        add(1);
        add(3);
        mWaiters.complete(goal -> goal <= 2);
        mWaiters.complete(goal -> goal <= 2);
        mWaiters.fail();
        mWaiters.fail();
        assertThat(mAnswers).containsExactly("2 true", "1 true", "3 false").inOrder();
    }

    @Test
    void oneMayWaitAgainFromWithinItsAnswer() {
        mWaiters.add(1, _ -> add(2));
        mWaiters.complete(goal -> goal == 1);
        assertThat(mAnswers).isEmpty();
        mWaiters.complete(goal -> goal == 2);
        assertThat(mAnswers).containsExactly("2 true");
    }

    @Test
    void oneMayWaitAgainFromWithinItsFailure() {
        mWaiters.add(1, _ -> add(2));
        mWaiters.fail();
        assertThat(mAnswers).isEmpty();
        mWaiters.fail();
        assertThat(mAnswers).containsExactly("2 false");
    }
}
