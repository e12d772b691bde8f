/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.relay;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.orchidmount.relay.UnreadRule.Unread;

/** Tests {@link UnreadRule}: who is disconnected, and that nobody else is. */
final class UnreadRuleTest {
    private static final UnreadRule RULE = new UnreadRule(100, 1_000);

    /** Guards against an ordinary caller losing a complete response larger than its bound. */
    @ParameterizedTest
    @CsvSource({
        "100, false, false",
        "101, false, true",
        "101, true, false",
        "1000, true, false",
        "1001, true, true",
        "1001, false, true"
    })
    void oneCallerIsBoundedWhileItsResponseGrows(
            long bytes, boolean isComplete, boolean isTooMuch) {
        assertThat(RULE.isTooMuchForOne(bytes, isComplete)).isEqualTo(isTooMuch);
    }

    @Test
    void nobodyIsDisconnectedWithinTheBound() {
        assertThat(RULE.disconnect(List.of())).isEmpty();
        assertThat(RULE.disconnect(callers(500, 500))).isEmpty();
    }

    /** Guards against many small callers being disconnected for one that is greedy. */
    @ParameterizedTest
    @CsvSource({"0, 0", "0, 10", "500, 10"})
    void theCallerWithMostUnreadIsDisconnected(long overdueOfGreedy, long overdueOfOthers) {
        List<Unread> callers = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            callers.add(new Unread(10, overdueOfOthers));
        }
        callers.add(30, new Unread(500, overdueOfGreedy));
        assertThat(RULE.disconnect(callers)).hasValue(30);
    }

    /** Guards against a caller that reads losing its large response to callers that do not. */
    @Test
    void bytesThatWereJustSentWeighLess() {
        List<Unread> callers =
                List.of(new Unread(390, 0), new Unread(300, 300), new Unread(350, 0));
        assertThat(RULE.disconnect(callers)).hasValue(1);
    }

    private static List<Unread> callers(long... bytes) {
        return LongStream.of(bytes).mapToObj(held -> new Unread(held, held)).toList();
    }
}
