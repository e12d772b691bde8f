/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.waiting;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Waiting requests are ordered by age, urgency and account, equally at all entries. */
final class WaitOrderTest {
    private static final double INTERVAL_MILLIS = 50;
    private static final long BUDGET_MILLIS = 800;

    private static WaitingRequest request(String id, String account, int urgency, long waited) {
        return new WaitingRequest(
                id, "s", account, urgency, 5_000, 4_900, waited, BUDGET_MILLIS - waited, false);
    }

    @ParameterizedTest
    @CsvSource({
        // id:account:urgency:waitedMillis, expected order
        "a:x:0:10 b:y:0:90, b a, the older first",
        "a:x:1:90 b:y:0:10, b a, the more urgent first",
        "a:x:1:410 b:y:0:0, a b, age overcomes urgency",
        "a:x:2:410 b:y:0:0, b a, each rank counts",
        "a:x:0:90 b:x:0:80 c:x:0:70 d:y:0:35, a d b c, an account's burst yields to another's one",
        "a:x:0:190 b:x:0:180 d:y:0:30, a b d, age overcomes the account's burst",
        "a::0:90 b::0:80 d:y:0:70, a b d, requests without account are no account",
        "b:x:0:50 a:y:0:50, a b, equal keys by id",
    })
    void sorts(String text, String expected, String reason) {
        List<WaitingRequest> requests = new ArrayList<>();
        for (String one : text.split(" ")) {
            String[] fields = one.split(":");
            requests.add(
                    request(
                            fields[0],
                            fields[1],
                            Integer.parseInt(fields[2]),
                            Long.parseLong(fields[3])));
        }
        Collections.shuffle(requests, new java.util.Random(5));
        List<String> ids =
                WaitOrder.sort(requests, INTERVAL_MILLIS).stream().map(WaitingRequest::id).toList();
        assertThat(ids).isEqualTo(Arrays.asList(expected.split(" ")));
    }

    /** Guards against a steady stream of urgent requests that starves a less urgent one. */
    @Test
    void aRequestGetsAheadOfAllThatArriveLaterThanItsRanksDelayIt() {
        WaitingRequest old = request("old", "x", 2, 801);
        List<WaitingRequest> requests = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            requests.add(request("new" + i, "y", 0, 0));
        }
        assertThat(WaitOrder.ahead(requests, old, INTERVAL_MILLIS)).isEmpty();
    }

    /** Guards against two entries that each let the other's request go first. */
    @Test
    void ofTwoRequestsExactlyOneIsAheadWhateverTheirBudgets() {
        SplittableRandom random = new SplittableRandom(7);
        for (int i = 0; i < 1_000; i++) {
            WaitingRequest one = random("one", random);
            WaitingRequest two = random("two", random);
            List<WaitingRequest> both = List.of(one, two);
            boolean isTwoFirst = !WaitOrder.ahead(both, one, INTERVAL_MILLIS).isEmpty();
            boolean isOneFirst = !WaitOrder.ahead(both, two, INTERVAL_MILLIS).isEmpty();
            assertThat(isOneFirst).isNotEqualTo(isTwoFirst);
        }
    }

    private static WaitingRequest random(String id, SplittableRandom random) {
        return new WaitingRequest(
                id,
                "s",
                "x",
                random.nextInt(4),
                5_000,
                4_900,
                random.nextInt(2_000),
                random.nextInt(2_000),
                false);
    }
}
