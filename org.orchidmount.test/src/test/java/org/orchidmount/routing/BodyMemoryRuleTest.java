/*
 * Copyright (C) 2026, the Orchidmount authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */
package org.orchidmount.routing;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests {@link BodyMemoryRule}. */
final class BodyMemoryRuleTest {
    private static final int MIB = 1024 * 1024;
    private static final int KIB = 1024;

    /** Guards against large bodies that take all, and small ones that wait for large ones. */
    @ParameterizedTest(name = "{0} KiB beside {1} KiB, {2} KiB of them large: {3}")
    @CsvSource({
        "4096, 0, 0, true",
        "4096, 11264, 11264, true",
        "4097, 11264, 11264, false",
        "15360, 0, 0, true",
        "15361, 0, 0, false",
        "65, 15360, 15360, false",
        "64, 15360, 15360, true",
        "64, 16320, 15360, true",
        "64, 16321, 15360, false",
        "4096, 12288, 0, true",
        "4096, 12289, 0, false",
        "0, 16384, 15360, true",
    })
    void largeBodiesLeaveAShareToSmallOnes(
            int bodyKib, int otherKib, int otherLargeKib, boolean isHeld) {
        BodyMemoryRule rule = new BodyMemoryRule(16 * MIB);
        BodyMemoryRule.Held others =
                new BodyMemoryRule.Held((long) otherKib * KIB, (long) otherLargeKib * KIB, 0);
        assertThat(rule.canHoldRequest((long) bodyKib * KIB, others)).isEqualTo(isHeld);
    }

    /** Guards against bodies that wait for memory that there will never be. */
    @Test
    void aBodyLargerThanTheShareOfLargeOnesIsNeverHeld() {
        BodyMemoryRule rule = new BodyMemoryRule(16 * MIB);
        assertThat(rule.canEverHold(15 * MIB, false)).isTrue();
        assertThat(rule.canEverHold(15 * MIB + 1, false)).isFalse();
        assertThat(BodyMemoryRule.UNBOUNDED.canEverHold(Integer.MAX_VALUE, false)).isTrue();
    }

    /** Guards against bounds that together exceed the heap. */
    @ParameterizedTest
    @CsvSource({"80, 16", "80, 0", "4096, 16", "16, 16", "8, 16"})
    void theDefaultLeavesRoomForOtherObjects(int heapMib, int otherMib) {
        long heapBytes = (long) heapMib * MIB;
        long otherBytes = (long) otherMib * MIB;
        long bodyBytes = BodyMemoryRule.ofHeap(heapBytes, otherBytes).totalBytes();
        assertThat(bodyBytes).isAtLeast(1);
        assertThat(bodyBytes).isAtMost(Math.max(1, (heapBytes - otherBytes) * 2 / 3));
    }

    /** Guards against a least bound with which the largest body is refused for ever. */
    @ParameterizedTest
    @ValueSource(longs = {1, 1_000, 100_000, 4 * MIB, 256L * MIB})
    void theLeastBoundHoldsABodyTwice(long bytes) {
        assertThat(new BodyMemoryRule(BodyMemoryRule.leastFor(bytes)).canEverHold(2 * bytes, false))
                .isTrue();
    }

    /** Guards against requests and responses that wait for each other, and a sum over the bound. */
    @ParameterizedTest(name = "{0} KiB beside {1}, {2} and {3} KiB: {4}, {5}")
    @CsvSource({
        "4096, 0, 0, 0, true, true",
        "8192, 15360, 15360, 0, false, true",
        "8193, 15360, 15360, 0, false, false",
        "1024, 0, 0, 22528, true, true",
        "1025, 0, 0, 22528, false, false",
        "64, 0, 0, 23552, true, false",
        "64, 960, 0, 23552, true, false",
        "64, 961, 0, 23552, false, false",
    })
    void responsesTakeWhatRequestsLeaveButAShareOfSmallOnes(
            int bodyKib,
            int requestKib,
            int largeKib,
            int responseKib,
            boolean isRequestHeld,
            boolean isResponseHeld) {
        BodyMemoryRule rule = new BodyMemoryRule(16 * MIB, 24 * MIB);
        BodyMemoryRule.Held others =
                new BodyMemoryRule.Held(
                        (long) requestKib * KIB, (long) largeKib * KIB, (long) responseKib * KIB);
        assertThat(rule.canHoldRequest((long) bodyKib * KIB, others)).isEqualTo(isRequestHeld);
        assertThat(rule.canHoldResponse((long) bodyKib * KIB, others)).isEqualTo(isResponseHeld);
    }

    /** Guards against a bound that refuses every request. */
    @ParameterizedTest
    @ValueSource(longs = {0, -1})
    void aBoundThatHoldsNothingIsRefused(long bytes) {
        assertThrows(IllegalArgumentException.class, () -> new BodyMemoryRule(bytes));
    }
}
